"""Mutations of what shows that a response without length or chunks is whole."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

ENDS = "gateway/unframed_ends.feature"
PROOFS = "gateway/unframed_proofs.feature"
UNFRAMED = "gateway/unframed_ends.py"
PRESENCE = "gateway/crashes/server_presence.py"
START = "gateway/crashes/server_start.py"
SENDER = "gateway/sender.py"

MUTATIONS: tuple[Mutation, ...] = (
    Mutation(
        "an unframed response is whole only if its server outlives it",
        UNFRAMED,
        "if not same.is_shown:\n            raise",
        "if False:\n            raise",
        ENDS,
        "cuts off in order .*@1.1 ",
    ),
    Mutation(
        "a server has to outlive its response by some time",
        PRESENCE,
        "        if self._has_connection(server_state, shown_ms + 1):\n            return same\n",
        "        return same\n",
        ENDS,
        "cuts off in order .*@1.7 ",
    ),
    Mutation(
        "another start of a server is another process",
        START,
        "return Sameness.START if born_ms == server.born_ms else Sameness.OTHER",
        "return Sameness.START",
        ENDS,
        "cuts off in order .*@1.11 ",
    ),
    Mutation(
        "an id counts only soon after the close",
        START,
        "is_soon = conn.opened_ms - since_ms < MIN_START_MS",
        "is_soon = True",
        PROOFS,
        "while its VM stands still",
    ),
    Mutation(
        "a witness is opened before what can't be repeated is sent",
        SENDER,
        "await self._server_ends.prepare(open_request)",
        "pass",
        PROOFS,
        "of a server that is cold",
    ),
    Mutation(
        "a stream that a living server closes is resumed as proof",
        UNFRAMED,
        'raise ResumedAsProofError("an',
        'BrokenResponseError("an',
        ENDS,
        "living server closes .*@1.1 ",
    ),
    Mutation(
        "a proof run that breaks off proves nothing",
        SENDER,
        "progress.may_be_whole = isinstance(exc, ResumedAsProofError) and not progress.runs_on",
        "progress.may_be_whole |= isinstance(exc, ResumedAsProofError) and not progress.runs_on",
        PROOFS,
        "proof run that fails .*@1.1 ",
    ),
    Mutation(
        "a run that its server still lists was not done",
        SENDER,
        "isinstance(exc, ResumedAsProofError) and not progress.runs_on",
        "isinstance(exc, ResumedAsProofError)",
        PROOFS,
        "still lists its run .*@1.1 ",
    ),
    Mutation(
        "cuts don't make unframed streams usual",
        UNFRAMED,
        "        is_usual = self._unframed",
        "        self._record_stream(service, unframed=True)\n        is_usual = self._unframed",
        PROOFS,
        "one after the other never look whole",
    ),
    Mutation(
        "a stream whose last event has no id is not run again",
        "gateway/event_splitter.py",
        "not self._held and self._ends_with_id",
        "not self._held",
        PROOFS,
        "last event has no id .*@1.1 ",
    ),
    Mutation(
        "a VM gets all entries where another one has dropped the changes",
        "gateway/feed.py",
        "await self._fetch_snapshot(self._source)",
        "raise",
        "gateway/store.feature",
        "dropped the changes",
    ),
)
