from __future__ import annotations

import math

from behave import given, then
from tools.comparison import Outcome, Play, compare, verdicts

SITE = "site"


@given("plays of a site")
def step_plays(context):
    context.results = {}
    for row in context.table:
        cells = row.as_dict()
        problem = cells.get("problem", "")
        complete = not problem or cells.get("complete") == "yes"
        play = Play(cells["variant"], SITE, cells["day"], int(cells["seed"]))
        outcome = Outcome(worth=float(cells["worth"] or 0), problem=problem, complete=complete)
        context.results[play] = outcome


@then(
    'variant "{variant}" differs by {difference:g} with standard error {error} over {pairs:d} pairs'
)
def step_differs(context, variant, difference, error, pairs):
    found = compare(context.results, base="base", variant=variant, site=SITE)
    assert found.pairs == pairs, found
    assert math.isclose(found.difference, difference, abs_tol=1e-9), found
    expected = float(error)
    assert math.isclose(found.error, expected, abs_tol=1e-9) or (
        math.isnan(found.error) and math.isnan(expected)
    ), found


def verdicts_of(context):
    found = [compare(context.results, base="base", variant="new", site=SITE)]
    return verdicts(context.results, [it for it in found if it is not None])


@then("no verdict is given")
def step_no_verdict(context):
    assert verdicts_of(context) == []


@then("the verdicts are")
def step_verdicts(context):
    assert verdicts_of(context) == [row["line"] for row in context.table]


@given("a base of {base:g} and a variant whose plays differ by {differences}")
def step_differences(context, base, differences):
    context.results = {}
    for seed, text in enumerate(differences.split(",")):
        context.results[Play("base", SITE, "day", seed)] = Outcome(worth=base)
        context.results[Play("new", SITE, "day", seed)] = Outcome(worth=base + float(text))


@then("the variant is judged {verdict}")
def step_judged(context, verdict):
    found = compare(context.results, base="base", variant="new", site=SITE)
    assert found.is_worse == (verdict == "worse"), found
