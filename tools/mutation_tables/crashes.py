"""Mutations of how a part of prompts is blocked: the rules, and what connects them."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

POLICY = "policy/crash_evidence.feature"
GATEWAY = "gateway/crashing_parts.feature"
KNOWN = "gateway/crashing_parts_known.feature"
ONE_VM = "at most three requests .*@1.1 "
UNFRAMED = "at most three requests .*@1.3 "
ALL_ENDED = "stays blocked at VMs that start later .*@1.3"

MUTATIONS: tuple[Mutation, ...] = (
    # rules
    Mutation(
        "three crashes are needed",
        "policy/crash_suspects.py",
        "MIN_CRASHES = 3\n",
        "MIN_CRASHES = 2\n",
        POLICY,
    ),
    Mutation(
        "three crashes suffice",
        "policy/crash_suspects.py",
        "MIN_CRASHES = 3\n",
        "MIN_CRASHES = 4\n",
        POLICY,
    ),
    Mutation(
        "crashes at the same moment count once",
        "policy/crash_counts.py",
        "if last_ms is None or at_ms - last_ms >= SAME_CAUSE_MS:",
        "if last_ms is None or at_ms - last_ms >= 0:",
        POLICY,
    ),
    Mutation(
        "repeats of one request count for less",
        "policy/crash_suspects.py",
        "if len(requests) >= MIN_REQUESTS:",
        "if requests:",
        POLICY,
    ),
    Mutation(
        "a part that was sound shortly before is no suspect",
        "policy/recently_sound.py",
        "RECENT_MS = 2_000",
        "RECENT_MS = 0",
        POLICY,
    ),
    Mutation(
        "a sound response clears its parts",
        "policy/crash_evidence.py",
        "if suspect is not None and suspect.crashes:",
        "if suspect is None:",
        POLICY,
    ),
    Mutation(
        "what is cleared stays cleared when it is told again",
        "policy/crash_suspects.py",
        "        if server in self.cleared:\n            return True\n",
        "",
        POLICY,
    ),
    Mutation(
        "a crash that is told late is cleared by what was sound since",
        "policy/crash_evidence.py",
        "if sound_ms is not None and crash.at_ms < sound_ms",
        "if False",
        POLICY,
    ),
    Mutation(
        "a blocked part explains crashes",
        "policy/crash_evidence.py",
        "in (explained or found).items():",
        "in found.items():",
        POLICY,
    ),
    Mutation(
        "parts that came together are undecided alone",
        "policy/crash_evidence.py",
        "if alike.issubset(parts) else verdict.undecided",
        "if True else verdict.undecided",
        POLICY,
    ),
    Mutation(
        "a part whose crashes another one explains goes free",
        "policy/crash_suspects.py",
        "if not any(crashes[part] < it for it in crashes.values())",
        "if True",
        POLICY,
    ),
    Mutation(
        "the table is bounded",
        "policy/crash_evidence.py",
        "while len(self._suspects) > self._max_parts:",
        "while False:",
        POLICY,
    ),
    Mutation(
        "another VM's conclusion holds",
        "policy/crash_evidence.py",
        "told = told_blocked and",
        "told = False and",
        POLICY,
    ),
    # connections
    Mutation(
        "ends of servers become evidence",
        "gateway/request_handler.py",
        "on_end=part_blocks.recorder.record_end,",
        "",
        GATEWAY,
        ONE_VM,
    ),
    Mutation(
        "sound responses become evidence",
        "gateway/request_handler.py",
        "on_proven=part_blocks.recorder.record_proven,",
        "",
        KNOWN,
        "sound prompts with the same first part",
    ),
    Mutation(
        "an unframed end is looked into",
        "gateway/crashes/server_ends.py",
        "if framed:\n            request",
        "if True:\n            request",
        GATEWAY,
        UNFRAMED,
    ),
    Mutation(
        "a response that breaks off is looked into",
        "gateway/sender.py",
        "self._server_ends.record_break(open_request, is_silent=is_silent)",
        "pass",
        GATEWAY,
        ONE_VM,
    ),
    Mutation(
        "one broken response is no end of a server",
        "gateway/crashes/server_presence.py",
        "                return ServerEnd.ALIVE\n        elif self._has_connection",
        "                return ServerEnd.ENDED\n        elif self._has_connection",
        GATEWAY,
        "a server that goes on with other responses",
    ),
    Mutation(
        "a planned end is no crash",
        "gateway/crashes/server_ends.py",
        "if not planned:\n            if was_undecided",
        "if True:\n            if was_undecided",
        KNOWN,
        "said that it is leaving makes",
    ),
    Mutation(
        "prompts are checked",
        "gateway/crashes/part_blocks.py",
        "if not refused and progress.blocked is None:",
        "if True:",
        GATEWAY,
        ONE_VM,
    ),
    Mutation(
        "VMs tell each other",
        "gateway/crashes/part_blocks.py",
        "send_notice(self._fleet, untold)",
        "pass",
        KNOWN,
        "crashes that each VM saw",
    ),
    Mutation(
        "a VM that starts is told by others",
        "gateway/crashes/part_blocks.py",
        "self._fleet.suspects_to_report = self._to_report",
        "pass",
        KNOWN,
        "found while the store is away is told",
    ),
    Mutation(
        "a VM that starts reads the store's records",
        "gateway/crashes/part_blocks.py",
        "feed.on_batch(self._apply_batch)",
        "pass",
        KNOWN,
        ALL_ENDED,
    ),
    Mutation(
        "blocked parts are recorded in the store",
        "gateway/crashes/part_blocks.py",
        "await self._records.write_due(blocked)",
        "pass",
        KNOWN,
        ALL_ENDED,
    ),
    Mutation(
        "another region's refusal is final",
        "gateway/attempt.py",
        "blocked=BLOCKED_KINDS.get(not_run),",
        "",
        KNOWN,
        "hears of no block",
    ),
    Mutation(
        "a caller's hop headers are left out",
        "gateway/forwarding/hop.py",
        "if pair[0] not in HOP_HEADERS)",
        "if True)",
        "gateway/forwarding/hop.feature",
    ),
)
