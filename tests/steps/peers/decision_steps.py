from __future__ import annotations

from collections import Counter
from dataclasses import replace

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as forall
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from hickorybeam.model import EntryVm, RegionLoad, VmId, VmState
from hickorybeam.peers import ring
from hickorybeam.peers.discovery import new_incarnation
from hickorybeam.peers.gossip import GossipState
from hickorybeam.peers.suspicion import PeerContact, verdict_from
from hickorybeam.peers.view import MemberRecord, MembershipView, winning_record
from hickorybeam.policy.entry_order import entry_order

HYPOTHESIS_SETTINGS = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=300,
    stateful_step_count=60,
    suppress_health_check=list(HealthCheck),
)


def make_vm(name, incarnation="1", data_centre="dakar-1", state=VmState.SERVING):
    return EntryVm(
        id=VmId(name, incarnation),
        region=data_centre.rpartition("-")[0],
        data_centre=data_centre,
        host="127.0.0.1",
        http_port=1,
        peer_port=2,
        state=state,
    )


records = st.builds(
    MemberRecord,
    vm=st.builds(
        make_vm,
        st.sampled_from("ab"),
        st.sampled_from("123"),
        state=st.sampled_from(VmState),
    ),
    version=st.integers(1, 3),
    silent=st.booleans(),
    gone=st.booleans(),
    at_ms=st.integers(0, 2),
)


def merge_all(*parts):
    view = MembershipView()
    for part in parts:
        for record in part:
            view.merge(record)
    return {record.vm.id.name: record for record in view}, view.digest


@then("merging member records is commutative, associative and idempotent")
def step_merge(context):
    @HYPOTHESIS_SETTINGS
    @forall(st.lists(records, max_size=5), st.lists(records, max_size=5), st.randoms())
    def check(one, other, order):
        shuffled = [*one, *other, *one]
        order.shuffle(shuffled)
        assert merge_all(one, other) == merge_all(other, one) == merge_all(shuffled)
        joined = merge_all(one)[0].values()
        assert merge_all(joined, other) == merge_all(one, other)

    check()


class GossipMachine(RuleBasedStateMachine):
    """Four VM names in two data centres; the rules act as the network and the processes."""

    NAMES = ("a1", "a2", "b1", "b2")

    def __init__(self):
        super().__init__()
        self.now = 1_000
        self.delayed = []
        self.highest = {}

    @initialize()
    def start(self):
        self.nodes = {name: self.make(name, 1) for name in self.NAMES}

    def make(self, name, incarnation):
        vm = make_vm(name, f"{incarnation:03d}", data_centre="dc-" + name[0])
        return GossipState(vm, now_ms=self.now, wall_ms=self.now)

    def send(self, source, to, *, lose_reply=False):
        sender, receiver = self.nodes[source], self.nodes[to]
        request = sender.next_heartbeat(receiver.own_vm)
        reply, _ = receiver.on_request(sender.own_vm.id, request, now_ms=self.now, wall_ms=self.now)
        if not lose_reply:
            sender.on_reply(receiver.own_vm.id, request, reply, now_ms=self.now, wall_ms=self.now)

    @rule(source=st.sampled_from(NAMES), to=st.sampled_from(NAMES), lose=st.booleans())
    def heartbeat(self, source, to, lose):
        self.now += 10
        if source != to:
            self.send(source, to, lose_reply=lose)

    @rule(source=st.sampled_from(NAMES), to=st.sampled_from(NAMES))
    def delay(self, source, to):
        if source != to:
            request = self.nodes[source].next_heartbeat(self.nodes[to].own_vm)
            self.delayed.append((self.nodes[source].own_vm.id, to, request))

    @rule(which=st.randoms())
    def deliver_delayed(self, which):
        if self.delayed:
            sender, to, request = which.choice(self.delayed)
            self.nodes[to].on_request(sender, request, now_ms=self.now, wall_ms=self.now)

    @rule(by=st.sampled_from(NAMES), name=st.sampled_from(NAMES))
    def mark_silent(self, by, name):
        record = self.nodes[by].view.get(name)
        if record is not None and by != name:
            self.nodes[by].mark_silent(record.vm.id, wall_ms=self.now)

    @rule(name=st.sampled_from(NAMES), announced=st.booleans())
    def restart(self, name, announced):
        node = self.nodes[name]
        if announced:
            node.announce(node.own_vm, wall_ms=self.now, gone=True)
            self.send(name, self.NAMES[self.NAMES.index(name) - 1], lose_reply=True)
        self.nodes[name] = self.make(name, int(node.own_vm.id.incarnation) + 1)

    @rule(name=st.sampled_from(NAMES))
    def announce_leaving(self, name):
        node = self.nodes[name]
        node.announce(replace(node.own_vm, state=VmState.LEAVING), wall_ms=self.now)

    @invariant()
    def views_never_go_back(self):
        for holder, node in getattr(self, "nodes", {}).items():
            for record in node.view:
                key = (holder, node.own_vm.id.incarnation, record.vm.id.name)
                rank = (record.vm.id.incarnation, record.gone, record.version, record.silent)
                assert rank >= self.highest.get(key, rank), (key, rank)
                self.highest[key] = rank

    def teardown(self):
        if not hasattr(self, "nodes"):
            return
        # A note, a mark as silent and its refutation each have to reach all four VMs.
        for _ in range(6):
            for source in self.NAMES:
                for to in self.NAMES:
                    if source != to:
                        self.send(source, to)
        expected = {node.own_vm.id for node in self.nodes.values()}
        for node in self.nodes.values():
            live = {record.vm.id for record in node.view if record.live}
            assert live == expected, (node.own_vm.id, live ^ expected)
            others = [other.own_vm.id for other in self.nodes.values() if other is not node]
            assert not any(map(node.has_urgent_updates, others)), node.own_vm.id
        assert len({node.view.digest for node in self.nodes.values()}) == 1


@then("views under lost, late and repeated heartbeats never go back and end up equal")
def step_gossip(context):
    run_state_machine_as_test(GossipMachine, settings=HYPOTHESIS_SETTINGS)


@given("a ring of {size:d} VMs")
def step_ring(context, size):
    context.names = [f"vm-{number}" for number in range(size)]


@then("each VM of the ring has at most {most:d} partners")
def step_partners(context, most):
    assert all(len(ring.heartbeat_partners(name, context.names)) <= most for name in context.names)


@then("updates cross the ring in at most {hops:d} hops")
def step_hops(context, hops):
    partners = {name: ring.heartbeat_partners(name, context.names) for name in context.names}
    for start in context.names[:20]:
        reached, steps = {start}, 0
        while len(reached) < len(context.names):
            reached |= {partner for name in reached for partner in partners[name]}
            steps += 1
        assert steps <= hops, (start, steps)


@when("one VM is removed from the ring")
def step_removed(context):
    context.before = {
        name: ring.heartbeat_partners(name, context.names)[:2] for name in context.names
    }
    context.names = context.names[1:]


@then("at most {most:d} of 43 VMs have a new first or second partner")
def step_moved(context, most):
    changed = sum(
        ring.heartbeat_partners(name, context.names)[:2] != context.before[name]
        for name in context.names
    )
    assert 0 < changed <= most, changed


def delegate_of(names, remote):
    return ring.delegate_order(names, of="here", towards=remote)[0]


@then("delegates towards {count:d} data centres are at least {least:d} different VMs")
def step_delegates(context, count, least):
    found = {delegate_of(context.names, f"dc-{number}") for number in range(count)}
    assert len(found) >= least, found


@then("losing a delegate promotes its deputy and changes no other delegate")
def step_deputy(context):
    data_centres = [f"dc-{number}" for number in range(8)]
    first, second = ring.delegate_order(context.names, of="here", towards=data_centres[0])[:2]
    before = {remote: delegate_of(context.names, remote) for remote in data_centres}
    remaining = [name for name in context.names if name != first]
    after = {remote: delegate_of(remaining, remote) for remote in data_centres}
    assert after[data_centres[0]] == second
    assert all(
        after[remote] == before[remote] for remote in data_centres if before[remote] != first
    )


REPLIES = {"yes": True, "no": False, "none": None}


@then('witness replies "{replies}" about a suspect give the verdict "{verdict}"')
def step_verdict(context, replies, verdict):
    reached = [REPLIES[reply] for reply in replies.split(",")]
    assert verdict_from(reached).value == verdict


@then('witness replies "" about a suspect give the verdict "{verdict}"')
def step_verdict_none(context, verdict):
    assert verdict_from([]).value == verdict


@then("a peer last seen {age:d} ms ago and {how} has witnesses asked {asked}")
def step_asked(context, age, how, asked):
    contact = PeerContact(last_seen_ms=1_000)
    found = contact.record_failure(1_000 + age, refused=how == "refusing", silent_after_ms=2_000)
    assert found == (asked == "yes")


@given("entry VMs in dakar-1, dakar-2 and thies-1, one of each leaving and one joining")
def step_entry_vms(context):
    context.vms = [
        make_vm(f"{data_centre}.{number}", data_centre=data_centre, state=state)
        for data_centre in ("thies-1", "dakar-2", "dakar-1")
        for number, state in enumerate(
            (VmState.LEAVING, VmState.SERVING, VmState.SERVING, VmState.JOINING)
        )
    ]


@then('a caller in "{data_centre}" allowed "{allowed}" is sent VMs of "{order}"')
def step_sent(context, data_centre, allowed, order):
    regions = None if allowed == "unknown" else frozenset(allowed.split(","))
    sent = entry_order(
        context.vms, region="dakar", data_centre=data_centre, allowed=regions, caller_key="tour"
    )
    assert [vm.data_centre for vm in sent] == [
        name for name in order.split(",") for _ in range(2)
    ], sent
    assert all(vm.state is VmState.SERVING for vm in sent)


@then('a caller in "{data_centre}" allowed "{allowed}" is sent VMs of ""')
def step_sent_none(context, data_centre, allowed):
    regions = None if allowed == "unknown" else frozenset(allowed.split(","))
    assert (
        entry_order(
            context.vms, region="dakar", data_centre=data_centre, allowed=regions, caller_key="tour"
        )
        == ()
    )


@given("entry VMs of one data centre of {count:d}")
def step_one_centre(context, count):
    context.vms = [make_vm(f"vm-{number}") for number in range(count)]


def first_vms(vms):
    return {
        caller: entry_order(
            vms,
            region="dakar",
            data_centre="dakar-1",
            allowed=frozenset({"dakar"}),
            caller_key=f"tour/10.0.0.{caller}",
        )[0].id.name
        for caller in range(400)
    }


@when("the VM at the head of some callers' lists dies")
def step_first_vm_dies(context):
    context.first_vms = first_vms(context.vms)
    context.dead_name = context.first_vms[0]
    context.after = first_vms([vm for vm in context.vms if vm.id.name != context.dead_name])


@then("its callers spread over the other {count:d} VMs, none with more than twice its part")
def step_spread(context, count):
    changed = [caller for caller, head in context.first_vms.items() if head == context.dead_name]
    arrivals = Counter(context.after[caller] for caller in changed)
    assert len(arrivals) == count, arrivals
    assert max(arrivals.values()) <= 2 * len(changed) / count, arrivals


@then("no other caller's first VM changes")
def step_kept(context):
    assert all(
        context.after[caller] == head
        for caller, head in context.first_vms.items()
        if head != context.dead_name
    )


@given("a VM that reports its region's wait as {wait:d} ms")
def step_reports(context, wait):
    context.gossip = GossipState(make_vm("a"), now_ms=0, wall_ms=0)
    context.remote = make_vm("z", data_centre="thies-1")
    report(context, wait, 0)
    assert sent_loads(context, 0)


def report(context, wait, at_ms):
    load = RegionLoad(region="dakar", served="m", wait_ms=wait, free_tokens=9, at_ms=0)
    context.gossip.set_own_load(load, wall_ms=at_ms)


def sent_loads(context, at_ms):
    request = context.gossip.next_heartbeat(context.remote)
    remote = getattr(context, "remote_gossip", None) or GossipState(
        context.remote, now_ms=0, wall_ms=0
    )
    context.remote_gossip = remote
    reply, _ = remote.on_request(context.gossip.own_vm.id, request, now_ms=at_ms, wall_ms=at_ms)
    context.gossip.on_reply(context.remote.id, request, reply, now_ms=at_ms, wall_ms=at_ms)
    return request.loads


@then("after these reports its delegate sends")
def step_sent_loads(context):
    # After the first exchange both VMs have each other's whole view.
    sent_loads(context, 1)
    for row in context.table:
        report(context, float(row["wait_ms"]), int(row["at_ms"]))
        sent = sent_loads(context, int(row["at_ms"]))
        assert bool(sent) == (row["sent"] == "yes"), (row, sent)


@then("an incarnation made after {seen} sorts after it")
def step_incarnation(context, seen):
    assert new_incarnation(5, after=seen) > seen


@given("two VMs that have exchanged their views")
def step_exchanged(context):
    context.one = GossipState(make_vm("a"), now_ms=0, wall_ms=0)
    context.other = GossipState(make_vm("b"), now_ms=0, wall_ms=0)
    for _ in range(2):
        for source, to in ((context.one, context.other), (context.other, context.one)):
            request = source.next_heartbeat(to.own_vm)
            reply, _ = to.on_request(source.own_vm.id, request, now_ms=1, wall_ms=1)
            source.on_reply(to.own_vm.id, request, reply, now_ms=1, wall_ms=1)


@when("one publishes a note, then a newer one, and the heartbeats arrive in reverse order")
def step_overtaken(context):
    context.one.publish("position", b"1", urgent=False)
    older = context.one.next_heartbeat(context.other.own_vm)
    context.one.publish("position", b"2", urgent=False)
    newer = context.one.next_heartbeat(context.other.own_vm)
    context.notes = []
    for heartbeat in (newer, older):
        _, updates = context.other.on_request(context.one.own_vm.id, heartbeat, now_ms=2, wall_ms=2)
        context.notes += [note.data for note in updates.notes]


@then("the other received only the newer note")
def step_newer(context):
    assert context.notes == [b"2"], context.notes


def read_record(text):
    incarnation, version, state = text.split("/")
    return MemberRecord(
        vm=make_vm("a", incarnation),
        version=int(version),
        silent=state == "silent",
        gone=state == "gone",
    )


@then('of the member records "{one}" and "{other}" the winner is "{winner}"')
def step_winner(context, one, other, winner):
    found = winning_record(read_record(one), read_record(other))
    assert found == winning_record(read_record(other), read_record(one)) == read_record(winner), (
        found
    )
