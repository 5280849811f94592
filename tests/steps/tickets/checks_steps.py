from __future__ import annotations

import re
from dataclasses import replace

from behave import given, then, when

from hickorybeam.model import (
    BackendKind,
    BackendServer,
    ChangeTicket,
    ClientAccount,
    ClientKey,
    ModelService,
    ObjectRef,
    PlainService,
    Region,
    ResidencyRule,
    ServiceRoute,
)
from hickorybeam.store import MAX_VALUE_BYTES
from hickorybeam.tickets import LogState, apply, check_ticket
from hickorybeam.tickets.apply import Faulty, Fresh
from hickorybeam.tickets.codec import decode_snapshot, encode_snapshot

REGION = Region(name="here", data_centres=("h1",))
RULE = ResidencyRule(name="eu", regions=("here",))
ACCOUNT = ClientAccount(name="shop", rate=1.0, burst=1.0, residency="eu")
KEY = ClientKey(name="a" * 64, account="shop")
MODEL = ModelService(name="base", regions=("here",))
ENGINE = BackendServer(
    name="e1",
    kind=BackendKind.ENGINE,
    region="here",
    data_centre="h1",
    host="127.0.0.1",
    port=1,
    serves=("base",),
)


@given(
    'a configuration with region "here" with data centre "h1", rule "eu" for it, account "shop"'
    ' under the rule, a key of "shop", model "base" and engine "e1"'
)
def step_configuration(context):
    ticket = ChangeTicket(
        number=1,
        regions=(REGION,),
        residency_rules=(RULE,),
        accounts=(ACCOUNT,),
        keys=(KEY,),
        models=(MODEL,),
        backends=(ENGINE,),
    )
    assert check_ticket(LogState(), ticket) == Fresh()
    context.state = apply(LogState(), ticket)


def route_that(field, value, last):
    """Return a service and a route to it with one field set, or two equal routes."""
    way = ServiceRoute(name="way", host="shop.example", prefix="/a/", service="desk")
    way = replace(way, **{"prefix" if field == "path" else field: value})
    found = {"services": (PlainService(name="desk", regions=("here",)),), "routes": (way,)}
    if last == "twice":
        found["routes"] = (way, replace(way, name="other"))
    if last == "none":
        found["routes"] = (replace(way, service="none"),)
    return found


def ticket_that(change):
    words = re.findall(r'"[^"]*"|\S+', change)
    last = words[-1].strip('"')
    match words[:2]:
        case ["places", _]:
            return {"residency_rules": (replace(RULE, regions=(last,)),)}
        case ["empties", _]:
            return {"residency_rules": (replace(RULE, regions=()),)}
        case ["puts", _]:
            return {"accounts": (replace(ACCOUNT, residency=last),)}
        case ["adds", "a"] if words[2] == "key":
            return {"keys": (ClientKey(name="b" * 64, account=last),)}
        case ["names", _]:
            return {"keys": (replace(KEY, name="sk-secret"),)}
        case ["deletes", "a"]:
            return {"deleted": (ObjectRef(last, "x"),)}
        case ["deletes", kind]:
            return {"deleted": (ObjectRef(f"{kind}s", last),)}
        case ["gives", "account"]:
            return {"accounts": (replace(ACCOUNT, **{words[3]: float(last)}),)}
        case ["moves", "engine"]:
            return {"backends": (replace(ENGINE, data_centre=last),)}
        case ["gives", "engine"]:
            value = int(last) if words[3] == "port" else last
            return {"backends": (replace(ENGINE, **{words[3]: value}),)}
        case ["lets", _]:
            return {"backends": (replace(ENGINE, serves=(last,)),)}
        case ["makes", _]:
            return {"models": (replace(MODEL, adapter_of="base"),)}
        case ["routes", field]:
            return route_that(field, words[2].strip('"'), last)
        case ["touches", _]:
            return {}
        case ["has", "number"]:
            return {"number": 0, "accounts": (ACCOUNT,)}
        case ["sets", _]:
            return {"accounts": (ACCOUNT, ACCOUNT)}
        case ["has", "three"]:
            return {
                "accounts": (replace(ACCOUNT, rate=-1.0),),
                "models": (replace(MODEL, min_engines=-1),),
                "backends": (replace(ENGINE, port=70_000),),
            }
        case ["adds", "a"] if last == "bytes":
            regions = ("here",) * 130_000
            return {"models": (ModelService(name="big", regions=regions),)}
        case ["moves", "everything"]:
            return {
                "regions": (replace(REGION, name="there"),),
                "residency_rules": (replace(RULE, regions=("there",)),),
                "models": (replace(MODEL, regions=("there",)),),
                "backends": (replace(ENGINE, region="there"),),
                "deleted": (ObjectRef("regions", "here"),),
            }
    raise AssertionError(change)


@when("a ticket is checked that {change}")
def step_check(context, change):
    ticket = ChangeTicket(**{"number": 2, **ticket_that(change)})
    verdict = check_ticket(context.state, ticket)
    context.faults = verdict.faults if isinstance(verdict, Faulty) else ()


@then('the faults reported are exactly "{text}"')
def step_exactly(context, text):
    found = "; ".join(re.sub(r"(')([ab]{8})[ab]{56}(')", r"\1\2\3", f) for f in context.faults)
    found = found.replace("'sk-secret'", "'sk-secre'")
    assert found == text, found


@then("{count:d} faults are reported")
def step_count(context, count):
    assert len(context.faults) == count, context.faults


@given("a log of {count:d} tickets of {size:d} bytes")
def step_log(context, count, size):
    state = LogState()
    for number in range(1, count + 1):
        name = f"{number:05d}"
        model = ModelService(name=name, regions=("r" * size,))
        gone = (ObjectRef("models", f"{number - 1:05d}"),) if number % 50 == 0 else ()
        state = apply(state, ChangeTicket(number=number, models=(model,), deleted=gone))
    context.state = state


@then("its snapshot has more than {count:d} parts below {limit:d} bytes")
def step_parts(context, count, limit):
    parts = encode_snapshot(context.state).parts
    assert limit == MAX_VALUE_BYTES
    assert len(parts) > count and max(map(len, parts)) < limit


@then("decoding its snapshot gives the same state")
def step_decode(context):
    assert decode_snapshot(encode_snapshot(context.state)) == context.state


@then("the state machine test of the ticket log passes {runs:d} runs of {steps:d} steps")
def step_machine(context, runs, steps):
    from steps.tickets.log_machine import run_log_machine

    run_log_machine(runs, steps)
