from __future__ import annotations

from behave import then, when

from hickorybeam.policy.retry_after import outage_retry_after_ms


@then(
    "a caller with {left:d} ms left is told {told:d} ms when nothing could serve it for {away:d} ms"
)
def step_told(context, left, told, away):
    assert outage_retry_after_ms(outage_ms=away, recovery_ms=0, left_ms=left) == told


@then(
    "a caller with {left:d} ms left is told {told:d} ms while servers settle for {settling:d} ms,"
    " away for {away:d} ms"
)
def step_settling(context, left, told, settling, away):
    assert outage_retry_after_ms(outage_ms=away, recovery_ms=settling, left_ms=left) == told


@when("{rate:d} callers a second with {left:d} ms left are refused for {seconds:d} s")
def step_outage(context, rate, left, seconds):
    context.back_at = [
        at + outage_retry_after_ms(outage_ms=at, recovery_ms=0, left_ms=left)
        for at in range(0, seconds * 1000, 1000 // rate)
    ]


@then("at least {count:d} of them come back after the outage of {seconds:d} s")
def step_after(context, count, seconds):
    after = [at for at in context.back_at if at >= seconds * 1000]
    assert len(after) >= count, len(after)


@then("no more than {count:d} come back in any {ms:d} ms")
def step_spread(context, count, ms):
    for at in context.back_at:
        together = [other for other in context.back_at if at <= other < at + ms]
        assert len(together) <= count, together
