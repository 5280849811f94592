from __future__ import annotations

import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

import anyio
from behave import given, then, when

from hickorybeam.demo import Caller
from hickorybeam.demo.deployment import free_ports
from hickorybeam.model import key_digest
from hickorybeam.standins import engine, platform

OPERATOR = "operator-of-this-test"
COMMANDS_WITH_URL = ("ticket", "key", "status", "drain")


def write_files(folder, platform_port, engine_port):
    http_port, peer_port = free_ports(2)
    settings = {
        "vm": {
            "name": "vm-1",
            "region": "here",
            "data_centre": "dc",
            "http_port": http_port,
            "peer_port": peer_port,
        },
        "platform": {"urls": [f"http://127.0.0.1:{platform_port}"]},
        "peers": {"tls": {"plain": True}},
        "front": {"operator_keys": [key_digest(OPERATOR)]},
    }
    backend = {"name": "e1", "kind": "engine", "region": "here", "data_centre": "dc"}
    backend |= {"host": "127.0.0.1", "port": engine_port, "serves": ["tiny"]}
    first = {
        "number": 1,
        "note": "first state",
        "regions": [{"name": "here", "data_centres": ["dc"]}],
        "accounts": [{"name": "small", "rate": 1000, "burst": 9000}],
        "models": [{"name": "tiny", "regions": ["here"]}],
        "backends": [backend],
    }
    wrong = first | {"accounts": [{"name": "small", "rate": "many", "burst": 1}]}
    dangling = first | {"number": 7, "keys": [{"name": "0" * 64, "account": "nobody"}]}
    for name, content in {
        "vm": settings,
        "first": first,
        "wrong": wrong,
        "dangling": dangling,
    }.items():
        (folder / f"{name}.json").write_text(json.dumps(content))
    return f"http://127.0.0.1:{http_port}"


@given("a platform stand-in, an engine and a daemon process")
def step_start(context):
    enter = context.stack.enter_context
    context.folder = Path(enter(tempfile.TemporaryDirectory()))
    served = enter(context.portal.wrap_async_context_manager(platform.serve()))
    app = engine.EngineApp(models=("tiny",))
    model = enter(context.portal.wrap_async_context_manager(engine.serve(app=app)))
    context.url = write_files(context.folder, served.port, model.port)
    cmd = [sys.executable, "-m", "hickorybeam", "run", "vm.json"]
    log = enter((context.folder / "daemon.log").open("wb"))
    context.daemon = subprocess.Popen(cmd, cwd=context.folder, stdout=log, stderr=log)
    context.stack.callback(end, context.daemon)
    context.call(until_up, context)


def end(child):
    child.kill()
    child.wait()


async def until_up(context):
    caller = Caller(OPERATOR)
    with anyio.fail_after(30):
        while True:
            try:
                if (await caller.call("GET", f"{context.url}/v1/state")).status == 200:
                    return
            except Exception:
                assert context.daemon.poll() is None, (context.folder / "daemon.log").read_text()
            await anyio.sleep(0.05)


def run_command(context, words):
    if words[0] in COMMANDS_WITH_URL and not any(word.startswith("--url") for word in words):
        words = [*words, f"--url={context.url}"]
    cmd = [sys.executable, "-m", "hickorybeam", *words]
    env = os.environ | {"HICKORYBEAM_KEY": OPERATOR, "PAGER": "cat"}
    done = subprocess.run(
        cmd, cwd=context.folder, capture_output=True, text=True, env=env, check=False
    )
    context.code, context.printed = done.returncode, done.stdout + done.stderr
    found = re.search(r'"key": "([^"]+)"', done.stdout)
    if found:
        context.key = found.group(1)


@when('the command "{command}" is run')
def step_command(context, command):
    run_command(context, command.split())


@when("that key is withdrawn by command")
def step_withdraw(context):
    run_command(context, ["key", "withdraw", context.key])
    assert context.code == 0, context.printed


@then('the command exits with {code:d} and prints "{text}"')
def step_exit(context, code, text):
    assert context.code == code, (context.code, context.printed)
    assert text in context.printed, context.printed


@then("a streamed question with that key to the daemon is answered whole")
def step_answered(context):
    reply = context.call(Caller(context.key).chat, context.url, "tiny", "hello")
    body = {"model": "tiny", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 16}
    assert reply.status == 200, reply
    assert reply.text == engine.answer_text(body), reply.text


@then('a streamed question with that key to the daemon is refused "{code}"')
def step_refused(context, code):
    reply = context.call(Caller(context.key).chat, context.url, "tiny", "hello")
    assert reply.code == code, reply


@then("the daemon finishes a running stream after SIGTERM and exits with 0")
def step_graceful(context):
    run_command(context, ["key", "make", "small", "--json"])

    async def ask_and_stop():
        replies = []

        async def ask():
            caller = Caller(context.key)
            replies.append(await caller.chat(context.url, "tiny", "bye", max_tokens=200))

        async with anyio.create_task_group() as tg:
            tg.start_soon(ask)
            await anyio.sleep(0.3)
            context.daemon.send_signal(signal.SIGTERM)
        return replies[0]

    reply = context.call(ask_and_stop)
    body = {"model": "tiny", "messages": [{"role": "user", "content": "bye"}], "max_tokens": 200}
    assert reply.text == engine.answer_text(body), reply
    assert context.daemon.wait(30) == 0, (context.folder / "daemon.log").read_text()
