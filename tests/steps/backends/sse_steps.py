from __future__ import annotations

from behave import then
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from hickorybeam.backends.sse import MAX_EVENT_BYTES, SseReader
from hickorybeam.model import Usage

TOKENS = 7
USAGE = b'id: 7\ndata: {"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":7}}\n\n'
DONE = b"data: [DONE]\n\n"
EVENTS = [b'id: %d\ndata: {"choices":[{"text":"data: %d"}]}\n\n' % (n, n) for n in range(TOKENS)]


def stream_from(position):
    """Return what an engine sends from a position on."""
    return b"".join(EVENTS[position:]) + USAGE + DONE


def cut(data, places):
    """Return the bytes in reads that end at these places."""
    ends = [*sorted({place % (len(data) + 1) for place in places}), len(data)]
    begins = [0, *ends]
    return [data[begin:end] for begin, end in zip(begins, ends, strict=False)]


def feed(reader, data, places, got):
    for part in cut(data, places):
        pieces = reader.feed(part)
        if pieces is not None:
            got.append(pieces)


breaks = st.lists(
    st.tuples(st.integers(0, 600), st.booleans(), st.lists(st.integers(0, 600), max_size=5)),
    max_size=4,
)


@settings(derandomize=True, max_examples=400, deadline=None, database=None)
@hypothesis_given(breaks, st.lists(st.integers(0, 600), max_size=8), st.booleans())
def check_any_cut(broken, last_cuts, strip):
    reader = SseReader(strip_usage=strip)
    got = []
    position = 0
    for length, early, places in broken:
        data = stream_from(position)
        feed(reader, data[: length % len(data)], places, got)
        if reader.done:
            break
        reader.resume()
        position = max(0, reader.position - early)
    if not reader.done:
        feed(reader, stream_from(min(position, reader.position)), last_cuts, got)
    assert reader.done
    wanted = b"".join(EVENTS) + (b"" if strip else USAGE) + DONE
    assert b"".join(pieces.data for pieces in got) == wanted
    assert sum(pieces.events for pieces in got) == TOKENS
    assert reader.usage == Usage(3, 7)


@then("any cut and any breaks of an event stream give each event once")
def step_any_cut(context):
    check_any_cut()


def outcome_of(what):
    reader = SseReader(strip_usage=False)
    whole = stream_from(0)
    match what:
        case "without its end mark":
            reader.feed(whole[: -len(DONE)])
        case "ended twice":
            reader.feed(whole)
            reader.feed(DONE)
        case "with carriage returns":
            reader.feed(whole.replace(b"\n", b"\r\n"))
        case "with comments":
            reader.feed(b": hello\n\n" + whole)
            assert reader.position == TOKENS + 1, reader.position
        case "a hole after a resume":
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
