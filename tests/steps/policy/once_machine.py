"""State machine over the key table and the claims of three VMs, with an oracle.

Each attempt is a list of small steps that interleave in any order: begin, write the claim,
read it back, run, write the outcome. Writes land late or never, answers are lost, VMs die.
The oracle counts executions of each key and checks every refusal that said "not run".
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
class Try:
    """One attempt: which step it is at, and what it holds."""

    vm: int
    generation: int
    key: str
    content: str
    number: int
    step: str = "claim"
    revision: int = 0
    ran: bool = False


class OnceMachine(RuleBasedStateMachine):
    """Attempts of callers at three VMs, claims in one platform."""

    def __init__(self):
        super().__init__()
        self.revision = 0
        self.store = {}
        self.late = []
        self.tries = []
        self.count = 0
        self.generations = [0, 0, 0]
        self.tables = [self.table() for _ in range(3)]
        self.executions = dict.fromkeys(KEYS, 0)
        self.contents = {key: set() for key in KEYS}
        self.wrong = []

    def table(self):
        return IdempotencyKeyTable(limit=10, answer_bytes=100)

    def me(self, attempt):
        return VmId(f"vm{attempt.vm}", str(attempt.generation))

    def alive(self, vm):
        return str(self.generations[int(vm.name[2:])]) == vm.incarnation

    def running(self, step):
        return [
            one
            for one in self.tries
            if one.step == step and one.generation == self.generations[one.vm]
        ]

    def refuse(self, attempt, kind):
        """Note a refusal; one that says "not run" must be right for this content."""
        attempt.step = "refused"
        if ERROR_RESPONSES[kind].ran is Ran.NO and kind is not ErrorKind.IDEMPOTENCY_MISMATCH:
            self.wrong.append((attempt.key, kind)) if attempt.ran else None
        if kind is ErrorKind.IDEMPOTENCY_MISMATCH and attempt.content in self.contents[attempt.key]:
            self.wrong.append((attempt.key, kind))

    @rule(vm=st.integers(0, 2), key=st.sampled_from(KEYS), content=st.sampled_from(("a", "a", "b")))
    def begin(self, vm, key, content):
        self.count += 1
        attempt = Try(vm, self.generations[vm], key, content, self.count)
        decision = self.tables[vm].begin(key, content, 0, expires_ms=FOR_EVER_MS)
        match decision:
            case Start():
                self.tries.append(attempt)
            case Replay():
                assert content in self.contents[key], "a replay of another call's answer"
            case Refused(kind=kind):
                self.refuse(attempt, kind)

    @precondition(lambda self: self.running("claim"))
    @rule(pick=PICK, fate=st.sampled_from(("answered", "answer lost", "late", "never")))
    def write_claim(self, pick, fate):
        attempt = self.pick("claim", pick)
        claim = Claim(owner=self.me(attempt), attempt=str(attempt.number), content=attempt.content)
        write = (attempt.key, attempt.revision, claim)
        attempt.step = "read"
        match fate:
            case "answered":
                if self.land(write):
                    attempt.revision = self.revision
                    attempt.step = "run"
            case "answer lost":
                self.land(write)
            case "late":
                self.late.append(write)

    def land(self, write):
        key, revision, claim = write
        if self.store.get(key, (0, None))[0] != revision:
            return False
        self.revision += 1
        self.store[key] = (self.revision, claim)
        return True

    @precondition(lambda self: self.late)
    @rule(pick=PICK)
    def land_late(self, pick):
        self.land(self.late.pop(pick % len(self.late)))

    @precondition(lambda self: self.running("read"))
    @rule(pick=PICK)
    def read_back(self, pick):
        attempt = self.pick("read", pick)
        revision, claim = self.store.get(attempt.key, (0, None))
        attempt.revision = revision
        attempt.step = "claim"
        if claim is None:
            return
        if (claim.owner, claim.attempt) == (self.me(attempt), str(attempt.number)):
            attempt.step = "run"
            return
        verdict = decide_claim(
            claim,
            me=self.me(attempt),
            attempt=str(attempt.number),
            content=attempt.content,
            owner_alive=self.alive(claim.owner),
        )
        if isinstance(verdict, Refused):
            self.tables[attempt.vm].release(attempt.key)
            self.refuse(attempt, verdict.kind)

    @precondition(lambda self: self.running("claim") or self.running("read"))
    @rule(pick=PICK)
    def give_up(self, pick):
        """The platform is out: refused as not run; its claim may still land."""
        attempt = self.pick("claim" if self.running("claim") else "read", pick)
        self.tables[attempt.vm].release(attempt.key)
        self.refuse(attempt, ErrorKind.PLATFORM_OUT)

    @precondition(lambda self: self.running("run"))
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
            self.contents[attempt.key].add(attempt.content)
            attempt.ran = True
        if outcome == "finished":
            table.finish(attempt.key, 201, ("answer",), 60)
            state = ClaimState.FINISHED
        elif outcome == "unknown":
            table.mark_unknown(attempt.key)
            state = ClaimState.UNKNOWN
        attempt.step = "settle" if state else "free"
        attempt.state = state

    @precondition(lambda self: self.running("settle") or self.running("free"))
    @rule(pick=PICK, reaches=st.booleans())
    def settle(self, pick, reaches):
        attempt = self.pick("settle" if self.running("settle") else "free", pick)
        step, attempt.step = attempt.step, "done"
        if not reaches or self.store.get(attempt.key, (0, None))[0] != attempt.revision:
            return
        self.revision += 1
        if step == "free":
            del self.store[attempt.key]
            return
        claim = Claim(
            owner=self.me(attempt),
            attempt=str(attempt.number),
            content=attempt.content,
            state=attempt.state,
            status=201,
        )
        self.store[attempt.key] = (self.revision, claim)

    @rule(vm=st.integers(0, 2))
    def crash(self, vm):
        self.generations[vm] += 1
        self.tables[vm] = self.table()

    def pick(self, step, pick):
        found = self.running(step)
        return found[pick % len(found)]

    @invariant()
    def ran_at_most_once(self):
        assert all(count <= 1 for count in self.executions.values()), self.executions
        assert not self.wrong, self.wrong
