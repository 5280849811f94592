from __future__ import annotations

from behave import then, when

from hickorybeam.policy.report_age import ReportAge


@when('reports of a VM up for "{up}" ms arrive at "{at}" ms')
def step_reports_arrive(context, up, at):
    age = ReportAge()
    pairs = zip(numbers(up), numbers(at), strict=True)
    context.ages = [age.age_ms(up_ms, now_ms) for up_ms, now_ms in pairs]


@then('their ages are "{ages}" ms')
def step_ages(context, ages):
    assert context.ages == numbers(ages), context.ages


def numbers(text):
    return [int(it) for it in text.split(",")]
