from __future__ import annotations

import msgspec
from behave import given, then, when

from hickorybeam.gateway.changes import ChangeLog, decode_changes
from hickorybeam.store import KeyValue, WatchBatch


@given("a change log that is complete after revision {revision:d}")
def step_change_log(context, revision):
    context.log = ChangeLog()
    context.log.reset(revision)


@when("changes of {size:d} bytes arrive at revisions {first:d} to {last:d}")
def step_add_changes(context, size, first, last):
    for revision in range(first, last + 1):
        item = KeyValue("k", b"x" * (size - 1), revision)
        context.log.add(WatchBatch(revision, (item,)))


@when("everything is read from the store at revision {revision:d}")
def step_full_read(context, revision):
    context.log.reset(revision)


def batches_after(context, revision):
    """Return the batches that another VM decodes from the response, ``None`` if there is none."""
    changes = context.log.changes_after(revision, complete_to=5_000, trouble_ms=0)
    if changes is None:
        return None
    return decode_changes(msgspec.msgpack.encode(changes)).to_watch_batches()


@then('a VM at revision {revision:d} gets the changes "{wanted}"')
@then('a VM at revision {revision:d} gets the changes ""')
def step_gets_changes(context, revision, wanted=""):
    found = [batch.revision for batch in batches_after(context, revision)]
    assert found == [int(it) for it in wanted.split(",") if it], found


@then("a VM at revision {revision:d} gets {count:d} changes")
def step_gets_change_count(context, revision, count):
    assert len(batches_after(context, revision)) == count


@then("a VM at revision {revision:d} has to read the store")
def step_must_read_store(context, revision):
    assert batches_after(context, revision) is None


@then("at most {max_bytes:d} bytes are kept")
def step_kept_bytes(context, max_bytes):
    kept = sum(len(put.value) + len(put.key) for it in context.log._batches for put in it.puts)
    assert kept <= max_bytes, kept
