"""Mutations of how a request is blocked under which servers end."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

POLICY = "policy/crash_evidence.feature"
GATEWAY = "gateway/repeated_requests.feature"
EVIDENCE = "policy/crash_evidence.py"
SUSPECTS = "policy/crash_suspects.py"
COUNTS = "policy/crash_counts.py"
RECORDER = "gateway/crashes/recorder.py"
BLOCKS = "gateway/crashes/part_blocks.py"
KEY = "policy/request_key.py"
PROMPTS = "repeats one after the other .*@1.1 "
SEVERAL_VMS = "repeats one after the other .*@1.2 "
PLAIN = "repeats one after the other .*@2.1 "
PLAIN_UNFRAMED = "repeats one after the other .*@2.3 "
AFTER_A_PAUSE = "stays blocked .*@1.1"
ALL_ENDED = "stays blocked .*@1.3"
UNHEARD = "a VM that hears of no ends"

MUTATIONS: tuple[Mutation, ...] = (
    # rules
    Mutation(
        "three ends are needed",
        SUSPECTS,
        "MIN_CRASHES_UNDER_REQUEST = 3",
        "MIN_CRASHES_UNDER_REQUEST = 2",
        POLICY,
    ),
    Mutation(
        "three ends suffice",
        SUSPECTS,
        "MIN_CRASHES_UNDER_REQUEST = 3",
        "MIN_CRASHES_UNDER_REQUEST = 4",
        POLICY,
    ),
    Mutation(
        "an end that followed the request counts",
        COUNTS,
        "if crash.alive_ms >= first_ms and crash.at_ms - first_ms >= SAME_MOMENT_MS:",
        "if False:",
        POLICY,
    ),
    Mutation(
        "ends at one moment count once",
        COUNTS,
        " and crash.at_ms - first_ms >= SAME_MOMENT_MS",
        "",
        POLICY,
    ),
    Mutation(
        "an end under a request that was sent before counts once",
        COUNTS,
        "crash.alive_ms >= first_ms and ",
        "",
        POLICY,
    ),
    Mutation(
        "a blocked request explains ends under its parts",
        EVIDENCE,
        "if not suspect.is_request and self._is_explained(suspect):",
        "if False:",
        POLICY,
        "a request that is blocked explains",
    ),
    Mutation(
        "one request explains one end beyond its own",
        EVIDENCE,
        "MIN_UNEXPLAINED = 2",
        "MIN_UNEXPLAINED = 9",
        POLICY,
        "two requests that are blocked",
    ),
    Mutation(
        "what is nearly blocked is kept",
        EVIDENCE,
        "return next(few, None) or next(unblocked, None)",
        "return next(unblocked, None)",
        POLICY,
        "many requests that one crash",
    ),
    Mutation(
        "a request that is told of is recognised",
        EVIDENCE,
        "                    self._know_outline(part)",
        "                    pass",
        POLICY,
        "another VM blocked",
    ),
    Mutation(
        "the trial of a request comes later",
        "policy/block_trials.py",
        "FIRST_TRIAL_OF_REQUEST_AFTER_MS if of_request else",
        "",
        POLICY,
        "the first trial of a blocked request",
    ),
    # the key
    Mutation(
        "bodies tell requests apart",
        KEY,
        "blake2b(body,",
        "blake2b(b'',",
        GATEWAY,
        PROMPTS,
    ),
    # connections
    Mutation(
        "ends become evidence of requests",
        RECORDER,
        "ended.at_ms, requests=self._crashed_requests(ended)",
        "ended.at_ms",
        GATEWAY,
        PLAIN,
    ),
    Mutation(
        "whole responses clear requests",
        "gateway/request_handler.py",
        "on_whole=part_blocks.recorder.record_whole,",
        "",
        GATEWAY,
        "block no lookup that many send .*@1.2",
    ),
    Mutation(
        "ends are told at once",
        RECORDER,
        "self._on_changes(changes)\n        self._tell()\n        self._on_ended",
        "self._on_changes(changes)\n        self._on_ended",
        GATEWAY,
        SEVERAL_VMS,
    ),
    Mutation(
        "what broke off is answered once its server is checked",
        "gateway/sender.py",
        "                await self._server_ends.wait_checked(open_request)\n        finally",
        "        finally",
        GATEWAY,
        SEVERAL_VMS,
    ),
    Mutation(
        "an unframed end is passed on once its server is checked",
        "gateway/unframed_ends.py",
        "        await self._server_ends.wait_checked(open_request)\n",
        "",
        GATEWAY,
        PLAIN_UNFRAMED,
    ),
    Mutation(
        "a request that is nearly blocked does not fail over",
        BLOCKS,
        "            suspects.append(request.key())",
        "            pass",
        GATEWAY,
        "copies that ended two servers",
    ),
    Mutation(
        "requests are refused",
        BLOCKS,
        "verdict.blocked.append(request.key())",
        "pass",
        GATEWAY,
        PLAIN,
    ),
    Mutation(
        "the store's records block requests",
        "gateway/crashes/block_records.py",
        "return [told]",
        "return []",
        GATEWAY,
        ALL_ENDED,
    ),
    Mutation(
        "another region's refusal is final",
        "gateway/attempt.py",
        "    REQUEST_BLOCKED: ErrorKind.REQUEST_BLOCKED,",
        "",
        GATEWAY,
        UNHEARD,
    ),
)
