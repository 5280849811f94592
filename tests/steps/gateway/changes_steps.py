from __future__ import annotations

import msgspec
from behave import given, then, when

from hickorybeam.gateway.changes import ChangeLog, decode_changes
from hickorybeam.store import KeyValue, WatchBatch


@given("a log of changes that begins after revision {revision:d}")
def step_log(context, revision):
    context.log = ChangeLog()
    context.log.restart(revision)


@when("changes of {size:d} bytes come at revisions {first:d} to {last:d}")
def step_changes(context, size, first, last):
    for revision in range(first, last + 1):
        item = KeyValue("k", b"x" * (size - 1), revision)
        context.log.add(WatchBatch(revision, (item,)))


@when("everything is read anew at revision {revision:d}")
def step_anew(context, revision):
    context.log.restart(revision)


def after(context, revision):
    """Return what another VM would be told, as it reads it."""
    found = context.log.after(revision, complete_to=5_000, trouble_ms=0)
    if found is None:
        return None
    return decode_changes(msgspec.msgpack.encode(found)).as_batches()


@then('a VM that knows {revision:d} gets the changes "{wanted}"')
@then('a VM that knows {revision:d} gets the changes ""')
def step_gets(context, revision, wanted=""):
    found = [batch.revision for batch in after(context, revision)]
    assert found == [int(it) for it in wanted.split(",") if it], found


@then("a VM that knows {revision:d} gets {count:d} changes")
def step_gets_many(context, revision, count):
    assert len(after(context, revision)) == count


@then("a VM that knows {revision:d} is told to read the store")
def step_reads(context, revision):
    assert after(context, revision) is None


@then("no more than {most:d} bytes are kept")
def step_bytes(context, most):
    kept = sum(len(put.value) + len(put.key) for it in context.log._batches for put in it.puts)
    assert kept <= most, kept
