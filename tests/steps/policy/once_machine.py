"""State machine over the key tables and claims of three VMs, with an oracle.

Each attempt is a sequence of small steps that interleave with others in any order: begin, write
the claim, read it back, run, write the outcome. Writes take effect late or never, responses are
lost, VMs die. The oracle counts the executions of each key and checks every refusal as "not run".
"""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickorybeam.errors import ERROR_RESPONSES, ErrorKind, Ran
from hickorybeam.model import VmId
from hickorybeam.policy.at_most_once import (
    Claim,
    ClaimState,
    IdempotencyKeyTable,
    Refused,
    Replay,
    Start,
    decide_claim,
)

KEYS = ("k1", "k2")
FOR_EVER_MS = 10**9
PICK = st.integers(0, 10_000)


@dataclass
class Attempt:
    """One attempt: its next step, the claim's revision it knows, and whether it ran."""

    vm: int
    incarnation: int
    key: str
    content: str
    id: int
    next_step: str = "claim"
    revision: int = 0
    ran: bool = False


class IdempotencyMachine(RuleBasedStateMachine):
    """Attempts of callers at three VMs, with claims at one platform."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.store = {}
        self.delayed_writes = []
        self.attempts = []
        self.attempt_count = 0
        self.incarnations = [0, 0, 0]
        self.tables = [self.new_table() for _ in range(3)]
        self.executions = dict.fromkeys(KEYS, 0)
        self.executed_contents = {key: set() for key in KEYS}
        self.false_refusals = []

    def new_table(self):
        return IdempotencyKeyTable(limit=10, answer_bytes=100)

    def own_vm(self, attempt):
        return VmId(f"vm{attempt.vm}", str(attempt.incarnation))

    def alive(self, vm):
        return str(self.incarnations[int(vm.name[2:])]) == vm.incarnation

    def attempts_at(self, next_step):
        return [
            one
            for one in self.attempts
            if one.next_step == next_step and one.incarnation == self.incarnations[one.vm]
        ]

    def refuse(self, attempt, kind):
        """Record a refusal; one as "not run" must be right for this content."""
        attempt.next_step = "refused"
        if ERROR_RESPONSES[kind].ran is Ran.NO and kind is not ErrorKind.IDEMPOTENCY_MISMATCH:
            self.false_refusals.append((attempt.key, kind)) if attempt.ran else None
        if (
            kind is ErrorKind.IDEMPOTENCY_MISMATCH
            and attempt.content in self.executed_contents[attempt.key]
        ):
            self.false_refusals.append((attempt.key, kind))

    @rule(vm=st.integers(0, 2), key=st.sampled_from(KEYS), content=st.sampled_from(("a", "a", "b")))
    def begin(self, vm, key, content):
        self.attempt_count += 1
        attempt = Attempt(vm, self.incarnations[vm], key, content, self.attempt_count)
        decision = self.tables[vm].begin(key, content, 0, expires_ms=FOR_EVER_MS)
        match decision:
            case Start():
                self.attempts.append(attempt)
            case Replay():
                assert content in self.executed_contents[key], "a replay of another call's response"
            case Refused(kind=kind):
                self.refuse(attempt, kind)

    @precondition(lambda self: self.attempts_at("claim"))
    @rule(pick=PICK, outcome=st.sampled_from(("response", "response lost", "late", "never")))
    def write_claim(self, pick, outcome):
        attempt = self.pick("claim", pick)
        claim = Claim(owner=self.own_vm(attempt), attempt=str(attempt.id), content=attempt.content)
        write = (attempt.key, attempt.revision, claim)
        attempt.next_step = "read"
        match outcome:
            case "response":
                if self.apply_write(write):
                    attempt.revision = self.revision
                    attempt.next_step = "run"
            case "response lost":
                self.apply_write(write)
            case "late":
                self.delayed_writes.append(write)

    def apply_write(self, write):
        key, revision, claim = write
        if self.store.get(key, (0, None))[0] != revision:
            return False
        self.revision += 1
        self.store[key] = (self.revision, claim)
        return True

    @precondition(lambda self: self.delayed_writes)
    @rule(pick=PICK)
    def late_write_takes_effect(self, pick):
        self.apply_write(self.delayed_writes.pop(pick % len(self.delayed_writes)))

    @precondition(lambda self: self.attempts_at("read"))
    @rule(pick=PICK)
    def read_back(self, pick):
        attempt = self.pick("read", pick)
        revision, claim = self.store.get(attempt.key, (0, None))
        attempt.revision = revision
        attempt.next_step = "claim"
        if claim is None:
            return
        if (claim.owner, claim.attempt) == (self.own_vm(attempt), str(attempt.id)):
            attempt.next_step = "run"
            return
        verdict = decide_claim(
            claim,
            me=self.own_vm(attempt),
            attempt=str(attempt.id),
            content=attempt.content,
            owner_alive=self.alive(claim.owner),
        )
        if isinstance(verdict, Refused):
            self.tables[attempt.vm].release(attempt.key)
            self.refuse(attempt, verdict.kind)

    @precondition(lambda self: self.attempts_at("claim") or self.attempts_at("read"))
    @rule(pick=PICK)
    def give_up(self, pick):
        """Refuse as not run while the platform is unavailable; the claim may still be written."""
        attempt = self.pick("claim" if self.attempts_at("claim") else "read", pick)
        self.tables[attempt.vm].release(attempt.key)
        self.refuse(attempt, ErrorKind.PLATFORM_OUT)

    @precondition(lambda self: self.attempts_at("run"))
    @rule(pick=PICK, outcome=st.sampled_from(("finished", "unknown", "not run")))
    def run_call(self, pick, outcome):
        attempt = self.pick("run", pick)
        table = self.tables[attempt.vm]
        state = None
        if outcome == "not run":
            table.release(attempt.key)
            self.refuse(attempt, ErrorKind.OVERLOADED)
        else:
            self.executions[attempt.key] += 1
            self.executed_contents[attempt.key].add(attempt.content)
            attempt.ran = True
        if outcome == "finished":
            table.finish(attempt.key, 201, ("answer",), 60)
            state = ClaimState.FINISHED
        elif outcome == "unknown":
            table.mark_unknown(attempt.key)
            state = ClaimState.UNKNOWN
        attempt.next_step = "settle" if state else "free"
        attempt.state = state

    @precondition(lambda self: self.attempts_at("settle") or self.attempts_at("free"))
    @rule(pick=PICK, written=st.booleans())
    def settle(self, pick, written):
        attempt = self.pick("settle" if self.attempts_at("settle") else "free", pick)
        next_step, attempt.next_step = attempt.next_step, "done"
        if not written or self.store.get(attempt.key, (0, None))[0] != attempt.revision:
            return
        self.revision += 1
        if next_step == "free":
            del self.store[attempt.key]
            return
        claim = Claim(
            owner=self.own_vm(attempt),
            attempt=str(attempt.id),
            content=attempt.content,
            state=attempt.state,
            status=201,
        )
        self.store[attempt.key] = (self.revision, claim)

    @rule(vm=st.integers(0, 2))
    def crash(self, vm):
        self.incarnations[vm] += 1
        self.tables[vm] = self.new_table()

    def pick(self, next_step, pick):
        found = self.attempts_at(next_step)
        return found[pick % len(found)]

    @invariant()
    def ran_at_most_once(self):
        assert all(count <= 1 for count in self.executions.values()), self.executions
        assert not self.false_refusals, self.false_refusals
