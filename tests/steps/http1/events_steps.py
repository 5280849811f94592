from __future__ import annotations

import random
import re

from behave import given, then, when

from hickorybeam.http1 import EventScanner

PARTS = (b"a", b":", b"\n", b"\r", b"\r\n", b"\n\n", b"\r\n\r\n", b"id: 1", b"data: x\n\n")
LINE_END = re.compile(rb"\r\n|\n|\r")
MAX_PARTS, MAX_PIECE = 8, 5


def reference(data):
    """Parse a whole stream: whether it ends inside an event, and where the last whole line ends."""
    inside, whole_end, position = False, 0, 0
    for match in LINE_END.finditer(data):
        line = data[position : match.start()]
        if not line:
            inside = False
        elif not line.startswith(b":"):
            inside = True
        position = match.end()
        if not inside:
            whole_end = position
    rest = data[position:]
    return inside or (bool(rest) and not rest.startswith(b":")), whole_end


@given("{count:d} random streams of lines that end with LF, CR LF or CR, seed {seed:d}")
def step_streams(context, count, seed):
    context.rng = random.Random(seed)
    context.streams = [
        b"".join(context.rng.choices(PARTS, k=context.rng.randint(0, MAX_PARTS)))
        for _ in range(count)
    ]


@when("each is scanned in random pieces")
def step_scan(context):
    context.found = []
    for data in context.streams:
        scanner, position, whole_end = EventScanner(), 0, 0
        while position < len(data):
            piece = data[position : position + context.rng.randint(1, MAX_PIECE)]
            before = scanner.feed(piece)
            if before:
                whole_end = position + before
            position += len(piece)
        context.found.append((scanner.inside_event, whole_end))


@then("each is inside an event exactly where a reference parser of whole streams is")
def step_inside(context):
    for data, (inside, _) in zip(context.streams, context.found, strict=True):
        assert inside == reference(data)[0], data


@then("the bytes before an unfinished event are those that the reference parser tells")
def step_whole_end(context):
    for data, (_, whole_end) in zip(context.streams, context.found, strict=True):
        assert whole_end == reference(data)[1], data
