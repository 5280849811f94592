"""Mutations of how the end of a run is told, and of whose a response is."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

SERVER_RUNS = "gateway/server_runs.feature"
RUNS = "gateway/forwarding/runs.feature"
STRAYS = "gateway/strays.feature"
OWNER = "http1/response_owner.feature"
SETTLEMENT = "gateway/runs/settlement.py"
REPORTS = "gateway/runs/server_reports.py"
CANCELS = "gateway/forwarding/run_cancels.py"
FORWARDED = "gateway/forwarding/forwarded_runs.py"
LATE = "no longer reports"
KILLED = "whose VM is killed"
UNKNOWN = "doesn't know a run"

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "a server's close must be borne out by its report",
        SETTLEMENT,
        "if request_id := id_to_report():",
        "if request_id := '':",
        SERVER_RUNS,
        LATE,
    ),
    Mutation(
        "a server that sends no report may work on",
        REPORTS,
        "frozenset({RunState.RUNNING, RunState.SILENT})",
        "frozenset({RunState.RUNNING})",
        SERVER_RUNS,
        LATE,
    ),
    Mutation(
        "a report older than the send tells nothing of it",
        REPORTS,
        ">= MAX_REPORT_AGE_MS",
        ">= 0",
        SERVER_RUNS,
        "older than its run",
    ),
    Mutation(
        "a report that still lists a run is asked for again",
        REPORTS,
        "MAX_WAIT_MS = 700",
        "MAX_WAIT_MS = 0",
        SERVER_RUNS,
        LATE,
    ),
    Mutation(
        "other VMs of a killed VM's region are asked",
        CANCELS,
        "WITNESSES = 2",
        "WITNESSES = 0",
        RUNS,
        KILLED,
    ),
    Mutation(
        "other VMs are asked only of a connection that its VM closed",
        SETTLEMENT,
        "settle(run, was_closed=was_closed)",
        "settle(run, was_closed=True)",
        RUNS,
        "only if its VM closed",
    ),
    Mutation(
        "a VM speaks of another's run only if every server reports",
        FORWARDED,
        "all(it is RunState.ENDED for",
        "all(it is not RunState.RUNNING for",
        RUNS,
        KILLED,
    ),
    Mutation(
        "a VM speaks of another's run only if it knows servers",
        FORWARDED,
        "if states and all(",
        "if all(",
        RUNS,
        "speaks of another VM",
    ),
    Mutation(
        "a VM asks its servers of a run that it doesn't know",
        FORWARDED,
        "is_shown = message.trace is None or",
        "is_shown = True or",
        RUNS,
        UNKNOWN,
    ),
    Mutation(
        "a VM asks its server before it says that a run has ended",
        SETTLEMENT,
        'return "" if run is None or',
        'return "" if True or',
        RUNS,
        "tells of a run that it ends",
    ),
    Mutation(
        "a VM's word is not a server's",
        "gateway/sender.py",
        "            if server_state is None:\n                raise",
        "            if False:\n                raise",
        RUNS,
        "not believed of a VM",
    ),
)
