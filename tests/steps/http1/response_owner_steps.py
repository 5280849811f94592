from __future__ import annotations

from behave import given, then, when

from hickorybeam.http1 import BrokenResponseError, RequestId, UpstreamConnection, owner_of
from hickorybeam.http1.head import response_head_bytes
from steps.http1.upstream_steps import FakeTransport, settle

NAME = b"x-id"


class Transport(FakeTransport):
    def __init__(self):
        super().__init__()
        self.aborted = False

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def write_eof(self):
        pass


def response(name, body=b"early"):
    return response_head_bytes(200, ((NAME, name.encode()),), length=len(body), close=False) + body


def new_connection(context):
    async def make():
        context.conn = UpstreamConnection()
        context.conn.connection_made(Transport())

    context.call(make)


def receive(context, data):
    async def take():
        context.conn.data_received(data)
        await settle(context.conn)

    context.call(take)


def send(context, name):
    async def do():
        context.conn.send(b"GET / HTTP/1.1\r\n\r\n", expected_id=RequestId(NAME, name.encode()))

    context.call(do)


@then('a response with the ids "{ids}" to a request with the id "{name}" is that of "{owner}"')
@then('a response with the ids "{ids}" to a request with the id "" is that of "{owner}"')
@then('a response with the ids "" to a request with the id "{name}" is that of "{owner}"')
@then('a response with the ids "" to a request with the id "" is that of "{owner}"')
def step_owner(context, owner, ids="", name=""):
    found = [it.replace("<blank>", "") for it in ids.split(", ")] if ids else []
    headers = ((b"x-a", name.encode()), *((NAME, it.encode()) for it in found))
    assert owner_of(headers, RequestId(NAME, name.encode())).value == owner


@given('a new connection on which a response with the id "{name}" has come')
def step_early(context, name):
    new_connection(context)
    receive(context, response(name))


@given('a new connection on which half a response with the id "{name}" has come')
def step_half_early(context, name):
    new_connection(context)
    data = response(name)
    context.rest = data[len(data) // 2 :]
    receive(context, data[: len(data) // 2])


@given('a new connection on which a request with the id "{name}" was sent')
def step_sent(context, name):
    new_connection(context)
    send(context, name)


@when('a request with the id "{name}" is sent')
def step_send(context, name):
    send(context, name)


@when("the other half comes")
def step_other_half(context):
    receive(context, context.rest)


@then("no response has come yet")
def step_none_yet(context):
    assert context.conn._head is None, context.conn._head
    assert not context.conn.closed


@when('a response with the id "{name}" and the body "{body}" comes')
def step_comes(context, name, body):
    receive(context, response(name, body.encode()))


@then('the body of the response is "{body}"')
def step_body(context, body):
    async def read():
        await context.conn.read_head()
        return await context.conn.read_body()

    assert context.call(read) == body.encode()


@then("the connection carries no further request")
def step_not_reusable(context):
    assert not context.conn.reusable


@given('a connection that has carried a request with the id "{name}"')
def step_carried(context, name):
    step_sent(context, name)
    step_comes(context, name, "own")
    step_body(context, "own")


@then('it takes no request with the id "{name}"')
def step_takes_none(context, name):
    try:
        send(context, name)
    except BrokenResponseError as exc:
        assert not exc.sent
    else:
        raise AssertionError("it was sent")


@then('it takes a request with the id "{name}"')
def step_takes(context, name):
    send(context, name)


@when('"{begin}" and then a response with the id "{name}" comes, {how}')
def step_merged(context, begin, name, how):
    data = begin.replace("\\r\\n", "\r\n").encode() + b" " + response(name)
    size = len(data) if how == "at once" else 1
    for at in range(0, len(data), size):
        receive(context, data[at : at + size])


@then("the response is broken")
def step_broken(context):
    try:
        context.call(context.conn.read_head)
    except BrokenResponseError:
        return
    raise AssertionError(context.conn._head)
