from __future__ import annotations

from behave import then
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from hickorybeam.backends.sse import MAX_EVENT_BYTES, SseReader
from hickorybeam.model import Usage

TOKENS = 7
USAGE = b'id: 7\ndata: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":7}}\n\n'
DONE_EVENT = b"data: [DONE]\n\n"
EVENTS = [b'id: %d\ndata: {"choices":[{"text":"data: %d"}]}\n\n' % (n, n) for n in range(TOKENS)]


def stream_from(position):
    """Return what an engine sends from a position on."""
    return b"".join(EVENTS[position:]) + USAGE + DONE_EVENT


def split_at(data, offsets):
    """Split the bytes into reads that end at these offsets."""
    ends = [*sorted({offset % (len(data) + 1) for offset in offsets}), len(data)]
    begins = [0, *ends]
    return [data[begin:end] for begin, end in zip(begins, ends, strict=False)]


def feed(reader, data, offsets, received):
    for part in split_at(data, offsets):
        batch = reader.feed(part)
        if batch is not None:
            received.append(batch)


interruption_lists = st.lists(
    st.tuples(st.integers(0, 600), st.booleans(), st.lists(st.integers(0, 600), max_size=5)),
    max_size=4,
)


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@hypothesis_given(interruption_lists, st.lists(st.integers(0, 600), max_size=8), st.booleans())
def check_any_split(interruptions, last_offsets, strip):
    reader = SseReader(strip_usage=strip)
    received = []
    position = 0
    for length, early, offsets in interruptions:
        data = stream_from(position)
        feed(reader, data[: length % len(data)], offsets, received)
        if reader.done:
            break
        reader.resume()
        position = max(0, reader.position - early)
    if not reader.done:
        feed(reader, stream_from(min(position, reader.position)), last_offsets, received)
    assert reader.done
    expected = b"".join(EVENTS) + (b"" if strip else USAGE) + DONE_EVENT
    assert b"".join(batch.data for batch in received) == expected
    assert sum(batch.events for batch in received) == TOKENS
    assert reader.usage == Usage(3, 7)


@then("an event stream that is split and interrupted anywhere yields each event once")
def step_any_split(context):
    check_any_split()


def outcome_of(stream):
    reader = SseReader(strip_usage=False)
    whole = stream_from(0)
    match stream:
        case "without its end mark":
            reader.feed(whole[: -len(DONE_EVENT)])
        case "ended twice":
            reader.feed(whole)
            reader.feed(DONE_EVENT)
        case "with carriage returns":
            reader.feed(whole.replace(b"\n", b"\r\n"))
        case "with carriage returns alone":
            reader.feed(whole.replace(b"\n", b"\r"))
        case "with carriage returns, byte by byte":
            for byte in whole.replace(b"\n", b"\r\n"):
                reader.feed(bytes([byte]))
        case "with a comment after its end":
            reader.feed(whole + b": bye\n\n")
        case "with comments":
            reader.feed(b": hello\n\n" + whole)
            assert reader.position == TOKENS + 1, reader.position
        case "a gap after a resume":
            reader.feed(EVENTS[0])
            reader.resume()
            reader.feed(stream_from(2))
        case "an endless event":
            reader.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
        case "usage not JSON":
            reader.feed(USAGE.replace(b'"usage":{', b'"usage":'))
    return "done" if reader.done else "open"


@then('an event stream "{what}" at the reader gives "{outcome}"')
def step_outcome(context, what, outcome):
    try:
        found = outcome_of(what)
    except ValueError:
        found = "error"
    assert found == outcome, found
