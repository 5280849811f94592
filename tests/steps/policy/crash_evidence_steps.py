from __future__ import annotations

from collections import defaultdict
from itertools import count

from behave import then, when

from hickorybeam.policy.block_trials import UndecidedTrials, trial_due_ms
from hickorybeam.policy.crash_counts import Trait
from hickorybeam.policy.crash_evidence import CrashEvidence
from hickorybeam.policy.crash_messages import (
    CrashedRequest,
    crash_digest,
    part_digest,
    request_digest,
)
from hickorybeam.policy.request_key import OUTLINE_BYTES, outline_of, request_key

VM = "n1"
VMS = ("n1", "n2", "n3")


def evidence(context, vm=VM):
    if not hasattr(context, "evidence"):
        context.evidence = defaultdict(CrashEvidence)
        context.numbers = count(1)
        for name in VMS:
            context.evidence[name]
    return context.evidence[vm]


def digest(part):
    return part_digest("model", part)


def split(text):
    return [it.strip() for it in text.split(",")]


def crash(context, vm, server, parts, at_ms, request):
    suspects = [(digest(part), request_digest(request)) for part in parts]
    evidence(context, vm).record_crash(crash_digest(server, 0), suspects, at_ms)


@when('servers crash under part "{parts}" at "{times}" ms')
@when('servers crash under parts "{parts}" at "{times}" ms')
def step_crashes(context, parts, times):
    evidence(context)
    for at_ms in split(times):
        number = next(context.numbers)
        crash(context, VM, f"s{number}", split(parts), int(at_ms), f"r{number}")


@when('servers crash under part "{part}" of one request at "{times}" ms')
def step_crashes_of_one(context, part, times):
    evidence(context)
    for at_ms in split(times):
        crash(context, VM, f"s{next(context.numbers)}", [part], int(at_ms), "r")


@when('"{vm}" sees a crash of "{server}" under part "{part}" at {at_ms:d} ms')
def step_sees_crash(context, vm, server, part, at_ms):
    crash(context, vm, server, [part], at_ms, f"r-{server}")


@when('a server outlives part "{part}" at {at_ms:d} ms')
def step_outlives(context, part, at_ms):
    evidence(context).record_sound([digest(part)], at_ms)


@when('"{vm}" sees a server outlive part "{part}" at {at_ms:d} ms')
def step_sees_outlive(context, vm, part, at_ms):
    evidence(context, vm).record_sound([digest(part)], at_ms)


@when("the VMs tell each other at {at_ms:d} ms")
def step_tell(context, at_ms, late_ms=0):
    told = {name: evidence(context, name).reports.take_untold(at_ms) for name in VMS}
    for name in VMS:
        for other in VMS:
            if other != name:
                evidence(context, name).merge(told[other], at_ms + late_ms)


@when("the VMs tell each other at {at_ms:d} ms, {late_ms:d} ms late")
def step_tell_late(context, at_ms, late_ms):
    step_tell(context, at_ms, late_ms)


@when("the VMs tell each other {times:d} times from {at_ms:d} ms on")
def step_tell_often(context, times, at_ms):
    for number in range(times):
        step_tell(context, at_ms + 1_000 * number)
        for name in VMS:
            for other in VMS:
                reported = evidence(context, other).reports.to_report(at_ms + 1_000 * number)
                evidence(context, name).merge(reported, at_ms + 1_000 * number)


@when("{number:d} further parts are suspected of a crash each")
def step_many_parts(context, number):
    for i in range(number):
        crash(context, VM, f"t{i}", [f"p{i}"], 10_000 + 300 * i, f"q{i}")


@when("a blocked part had {trials:d} trials and the last crash was at {last_ms:d} ms")
def step_trials(context, trials, last_ms):
    context.due_ms = trial_due_ms(trials=trials, last_ms=last_ms)


@when("an undecided part may be tried at each second of {minutes:d} minutes")
def step_undecided(context, minutes):
    trials = UndecidedTrials()
    context.tried = [second for second in range(60 * minutes) if trials.take(1_000 * second)]


@then('it is tried at "{seconds}" s')
def step_tried(context, seconds):
    assert context.tried == [int(it) for it in split(seconds)], context.tried


@then("its next trial is due at {due}")
def step_due(context, due):
    assert context.due_ms == (None if due == "never" else int(due)), context.due_ms


def is_blocked(context, part, vm=VM):
    verdict = evidence(context, vm).judge_prompt([digest(part)])
    return bool(verdict.blocked)


@then('a prompt of parts "{parts}" is {verdict}')
def step_prompt(context, parts, verdict):
    found = evidence(context).judge_prompt([digest(part) for part in split(parts)])
    expected = (verdict == "refused", verdict == "undecided")
    assert (bool(found.blocked), bool(found.undecided)) == expected, found


@then('part "{part}" is blocked')
def step_blocked(context, part):
    assert is_blocked(context, part)


@then('part "{part}" is not blocked')
def step_not_blocked(context, part):
    assert not is_blocked(context, part)


@then('part "{part}" is blocked at "{vms}"')
def step_blocked_at(context, part, vms):
    found = [vm for vm in split(vms) if is_blocked(context, part, vm)]
    assert found == split(vms), found


@then('part "{part}" is not blocked at "{vms}"')
def step_not_blocked_at(context, part, vms):
    found = [vm for vm in split(vms) if is_blocked(context, part, vm)]
    assert not found, found


@then("at most {limit:d} parts are known")
def step_bounded(context, limit):
    assert len(evidence(context)) <= limit, len(evidence(context))


@then('part "{part}" is a suspect of {number:d} crashes')
def step_suspect_of(context, part, number):
    assert len(evidence(context).reports.told(digest(part), 0).crashes) == number


@then('each VM knows {number:d} crashes under part "{part}"')
def step_knows(context, number, part):
    found = {vm: len(evidence(context, vm).reports.told(digest(part), 0).crashes) for vm in VMS}
    assert set(found.values()) == {number}, found


def request_digest_of(name):
    return request_key(name.encode().ljust(OUTLINE_BYTES)[:OUTLINE_BYTES], name.encode())


def crash_under_request(
    context, vm, name, at_ms, open_ms, parts=(), trait=Trait.SEEN, *, answered=False
):
    known = evidence(context, vm)
    server = crash_digest(f"s{next(context.numbers)}", 0)
    suspects = [(digest(part), request_digest(f"{name}-{at_ms}")) for part in parts]
    request = CrashedRequest(request_digest_of(name), open_ms, trait, answered)
    known.record_crash(server, suspects, at_ms, requests=[request])


@when('"{vm}" sees servers crash under answered request "{name}" at "{times}" ms, {sent}')
def step_crash_under_answered(context, vm, name, times, sent):
    """Let servers crash, each as the only one that ended, unless copies were sent in between."""
    trait = Trait.SEEN if sent == "sent at 900 ms" else Trait.ALONE
    step_crash_under_request(context, vm, name, times, sent, trait, answered=True)


@when('"{vm}" sees servers crash under request "{name}" at "{times}" ms, {sent}')
def step_crash_under_request(context, vm, name, times, sent, trait=Trait.SEEN, *, answered=False):
    times = [int(it) for it in split(times)]
    evidence(context, vm)
    last_ms = times[0] - 5
    for at_ms in times:
        match sent.split():
            case ["sent", "after", "each", "other"]:
                sent_ms, last_ms = last_ms, at_ms
            case ["sent", "after", "the", "first", "one"]:
                sent_ms = min(at_ms, times[0] + 1)
            case ["sent", "at", ms, "ms"]:
                sent_ms = int(ms)
        crash_under_request(context, vm, name, at_ms, at_ms - sent_ms, (), trait, answered=answered)


@when('servers crash under request "{name}" and parts "{parts}" of others at "{times}" ms')
def step_crash_under_both(context, name, parts, times):
    evidence(context)
    for at_ms in split(times):
        crash_under_request(context, VM, name, int(at_ms), 20, split(parts))


@when(
    'servers crash at "{times}" ms under copies of request "{name}"'
    " sent {last:d} and {first:d} ms before"
)
def step_crash_under_copies(context, times, name, last, first):
    known, key = evidence(context), request_digest_of(name)
    for at_ms in split(times):
        server = crash_digest(f"s{next(context.numbers)}", 0)
        copies = [CrashedRequest(key, last), CrashedRequest(key, first)]
        known.record_crash(server, (), int(at_ms), requests=copies)


def serve(context, vm, name, server, at_ms, *, is_trial=False):
    known, key = evidence(context, vm), request_digest_of(name)
    return known.record_whole(key, crash_digest(server, 0), at_ms, is_trial=is_trial)


@when('{count:d} servers answer request "{name}" {times:d} times each at {at_ms:d} ms')
def step_servers_answer(context, count, name, times, at_ms):
    for number in range(count):
        for _ in range(times):
            serve(context, VM, name, f"sound{number}", at_ms)


@when('a trial of request "{name}" is answered at {at_ms:d} ms')
def step_trial_answered(context, name, at_ms):
    serve(context, VM, name, "sound", at_ms, is_trial=True)


@when("{number:d} further requests are suspected of a crash")
def step_many_requests(context, number):
    for i in range(number):
        crash_under_request(context, VM, f"q{i}", 700, 20)


@when("a blocked request had {trials:d} trials and the last crash was at {last_ms:d} ms")
def step_request_trials(context, trials, last_ms):
    context.due_ms = trial_due_ms(trials=trials, last_ms=last_ms, of_request=True)


def is_request_blocked(context, name, vm):
    key = request_digest_of(name)
    known = evidence(context, vm)
    return key in known.blocked and known.knows_outline(outline_of(key))


@then('request "{name}" is blocked at "{vms}"')
def step_request_blocked(context, name, vms):
    found = [vm for vm in split(vms) if is_request_blocked(context, name, vm)]
    assert found == split(vms), found


@then('request "{name}" is not blocked at "{vms}"')
def step_request_not_blocked(context, name, vms):
    found = [vm for vm in split(vms) if is_request_blocked(context, name, vm)]
    assert not found, found


@then("at most {limit:d} requests are suspected")
def step_bounded_requests(context, limit):
    assert evidence(context).suspected_requests() <= limit


@then("nothing else is recorded as blocked")
def step_only_one(context):
    assert len(evidence(context).blocked) == 1, evidence(context).blocked


@when(
    '"{vm}" finds servers silent under request "{name}" at "{times}" ms, last heard at "{heard}" ms'
)
def step_silent(context, vm, name, times, heard):
    known = evidence(context, vm)
    context.silent = getattr(context, "silent", [])
    for at_ms, heard_ms in zip(split(times), split(heard), strict=True):
        server = crash_digest(f"dark{next(context.numbers)}", 0)
        context.silent.append(server)
        request = CrashedRequest(request_digest_of(name), int(at_ms) - int(heard_ms), Trait.SILENT)
        known.record_crash(server, (), int(at_ms), requests=[request])


@when("their entries lapse at {at_ms:d} ms")
def step_lapse(context, at_ms):
    for server in context.silent:
        evidence(context).confirm_end(server)


@when("they are back as they were at {at_ms:d} ms")
def step_back(context, at_ms):
    for server in context.silent:
        evidence(context).disprove_end(server, before_ms=at_ms, traits=tuple(Trait))


@then('request "{name}" is held at {at_ms:d} ms')
def step_held(context, name, at_ms):
    assert evidence(context).is_held(request_digest_of(name), at_ms)


@then('request "{name}" is not held at {at_ms:d} ms')
def step_not_held(context, name, at_ms):
    assert not evidence(context).is_held(request_digest_of(name), at_ms)


@when(
    'servers crash at "{times}" ms under copies of request "{name}" sent at {sent_ms:d} ms,'
    " and nothing else ends"
)
def step_alone(context, times, name, sent_ms):
    evidence(context)
    for at_ms in split(times):
        open_ms = int(at_ms) - sent_ms
        crash_under_request(context, VM, name, int(at_ms), open_ms, trait=Trait.ALONE)


@when('servers crash under requests "{one}" and "{other}" at "{times}" ms')
def step_crash_under_two(context, one, other, times):
    known = evidence(context)
    for at_ms in split(times):
        server = crash_digest(f"s{next(context.numbers)}", 0)
        # The one that many send was sent last.
        requests = [
            CrashedRequest(request_digest_of(one), 5),
            CrashedRequest(request_digest_of(other), 20),
        ]
        known.record_crash(server, (), int(at_ms), requests=requests)


@when('the same server crashes under request "{name}" at {at_ms:d} ms')
def step_same_crashes(context, name, at_ms):
    request = CrashedRequest(request_digest_of(name), 20)
    evidence(context).record_crash(context.silent[-1], (), at_ms, requests=[request])
