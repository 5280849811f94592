from __future__ import annotations

from behave import then, when

from hickorybeam.policy.retry_after import outage_retry_after_ms


@then(
    "a caller with {left:d} ms left gets retry-after {expected:d} ms when nothing could serve it "
    "for {outage:d} ms"
)
def step_outage_so_far(context, left, expected, outage):
    assert outage_retry_after_ms(outage_ms=outage, recovery_ms=0, left_ms=left) == expected


@then(
    "a caller with {left:d} ms left gets retry-after {expected:d} ms while servers recover for "
    "{recovery:d} ms, after an outage of {outage:d} ms"
)
def step_recovery(context, left, expected, recovery, outage):
    assert outage_retry_after_ms(outage_ms=outage, recovery_ms=recovery, left_ms=left) == expected


@when("{rate:d} callers a second with {left:d} ms left are refused for {seconds:d} s")
def step_outage(context, rate, left, seconds):
    context.retry_at = [
        at + outage_retry_after_ms(outage_ms=at, recovery_ms=0, left_ms=left)
        for at in range(0, seconds * 1000, 1000 // rate)
    ]


@then("at least {count:d} of them retry after the outage of {seconds:d} s")
def step_after(context, count, seconds):
    after = [at for at in context.retry_at if at >= seconds * 1000]
    assert len(after) >= count, len(after)


@then("no more than {count:d} retry in any {ms:d} ms")
def step_spread(context, count, ms):
    for at in context.retry_at:
        together = [other for other in context.retry_at if at <= other < at + ms]
        assert len(together) <= count, together
