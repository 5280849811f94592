"""State machine test of the log's pure functions against an oracle: the list of tickets."""

from __future__ import annotations

from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from hickorybeam.model import ChangeTicket, ClientAccount, ObjectRef
from hickorybeam.tickets import LogState, apply, check_ticket
from hickorybeam.tickets.apply import Accepted, BelowFloor, Conflict, Faulty, Fresh, Stale
from hickorybeam.tickets.codec import decode_snapshot, encode_snapshot

REMEMBERED = 3
NAMES = st.sampled_from("abc")


class LogMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.accepted = []  # the oracle: tickets in the order of acceptance
        self.submitted = []
        self.vms = [LogState(), LogState(), LogState()]

    # The oracle

    def oracle_value(self, name, position):
        """Return the highest number that set an object, and its value or ``None`` if deleted."""
        touching = [
            ticket
            for ticket in self.accepted[:position]
            if any(account.name == name for account in ticket.accounts)
            or any(ref.name == name for ref in ticket.deleted)
        ]
        if not touching:
            return 0, None
        last = max(touching, key=lambda ticket: ticket.number)
        values = [account for account in last.accounts if account.name == name]
        return last.number, values[0] if values else None

    def expected_verdict(self, ticket):
        for position, old in enumerate(self.accepted, 1):
            if old.number == ticket.number:
                return Accepted(position) if old == ticket else Conflict(position)
        for ref in ticket.changed_refs():
            if self.oracle_value(ref.name, len(self.accepted))[0] > ticket.number:
                return Stale
        for ref in ticket.deleted:
            if self.oracle_value(ref.name, len(self.accepted))[0] == 0:
                return Faulty
        return Fresh

    def remembered(self, number):
        numbers = [ticket.number for ticket in self.accepted]
        return number in sorted(numbers)[-REMEMBERED:] or number in numbers[-REMEMBERED:]

    # Rules

    def submit(self, ticket):
        head = self.vms[0]
        verdict, expected = check_ticket(head, ticket), self.expected_verdict(ticket)
        if isinstance(verdict, BelowFloor):
            assert not self.remembered(ticket.number), "number dropped too early"
            assert len(self.accepted) > 2 * REMEMBERED
            return
        if isinstance(expected, type):
            assert isinstance(verdict, expected), (verdict, expected)
        else:
            assert verdict == expected, (verdict, expected)
        if isinstance(verdict, Fresh):
            self.accepted.append(ticket)
            self.vms[0] = apply(head, ticket)

    @rule(number=st.integers(1, 40), name=NAMES, rate=st.sampled_from([1.0, 2.0]))
    def submit_account(self, number, name, rate):
        account = ClientAccount(name=name, rate=rate, burst=1.0)
        self.submitted.append(ChangeTicket(number=number, accounts=(account,)))
        self.submit(self.submitted[-1])

    @rule(ahead=st.integers(1, 3), name=NAMES)
    def submit_next_number(self, ahead, name):
        top = max((ticket.number for ticket in self.accepted), default=0)
        self.submit_account(top + ahead, name, 1.0)

    @rule(number=st.integers(1, 40), one=NAMES, other=NAMES)
    def submit_deletion(self, number, one, other):
        accounts = () if one == other else (ClientAccount(name=other, rate=1.0, burst=1.0),)
        deleted = (ObjectRef("accounts", one),)
        self.submitted.append(ChangeTicket(number=number, accounts=accounts, deleted=deleted))
        self.submit(self.submitted[-1])

    @rule(which=st.integers(0, 1000))
    def submit_again(self, which):
        if self.submitted:
            self.submit(self.submitted[which % len(self.submitted)])

    @rule(vm=st.integers(1, 2), count=st.integers(1, 5))
    def replay(self, vm, count):
        start = self.vms[vm].position
        for ticket in self.accepted[start : start + count]:
            self.vms[vm] = apply(self.vms[vm], ticket)

    @rule(vm=st.integers(0, 2))
    def restart_from_snapshot(self, vm):
        self.vms[vm] = decode_snapshot(encode_snapshot(self.vms[vm]))

    @rule(source=st.integers(0, 2), vm=st.integers(1, 2))
    def fetch_whole_state(self, source, vm):
        if self.vms[source].position > self.vms[vm].position:
            self.vms[vm] = decode_snapshot(encode_snapshot(self.vms[source]))

    @invariant()
    def every_vm_shows_the_oracle(self):
        for state in self.vms:
            for name in "abc":
                shown = state.config.accounts.get(name)
                assert shown == self.oracle_value(name, state.position)[1]

    @invariant()
    def memory_is_bounded(self):
        for state in self.vms:
            assert len(state.used) <= 3 * REMEMBERED


def run_log_machine(runs, steps):
    profile = settings(
        max_examples=runs,
        stateful_step_count=steps,
        derandomize=True,
        deadline=None,
        database=None,
    )
    with patch("hickorybeam.tickets.apply.REMEMBERED_NUMBERS", REMEMBERED):
        run_state_machine_as_test(LogMachine, settings=profile)
