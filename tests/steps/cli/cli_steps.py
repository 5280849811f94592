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
    first_ticket = {
        "number": 1,
        "note": "first state",
        "regions": [{"name": "here", "data_centres": ["dc"]}],
        "accounts": [{"name": "small", "rate": 1000, "burst": 9000}],
        "models": [{"name": "tiny", "regions": ["here"]}],
        "backends": [backend],
    }
    invalid_ticket = first_ticket | {"accounts": [{"name": "small", "rate": "many", "burst": 1}]}
    dangling_ticket = first_ticket | {
        "number": 7,
        "keys": [{"name": "0" * 64, "account": "nobody"}],
    }
    for name, content in {
        "vm": settings,
        "first": first_ticket,
        "wrong": invalid_ticket,
        "dangling": dangling_ticket,
    }.items():
        (folder / f"{name}.json").write_text(json.dumps(content))
    return f"http://127.0.0.1:{http_port}"


@given("a platform stand-in, an engine and a daemon process")
def step_start(context):
    enter = context.stack.enter_context
    context.folder = Path(enter(tempfile.TemporaryDirectory()))
    platform_server = enter(context.portal.wrap_async_context_manager(platform.serve()))
    app = engine.EngineApp(models=("tiny",))
    engine_server = enter(context.portal.wrap_async_context_manager(engine.serve(app=app)))
    context.url = write_files(context.folder, platform_server.port, engine_server.port)
    command_line = [sys.executable, "-m", "hickorybeam", "run", "vm.json"]
    log = enter((context.folder / "daemon.log").open("wb"))
    context.daemon = subprocess.Popen(command_line, cwd=context.folder, stdout=log, stderr=log)
    context.stack.callback(stop_daemon, context.daemon)
    context.call(wait_until_ready, context)


def stop_daemon(daemon):
    daemon.kill()
    daemon.wait()


async def wait_until_ready(context):
    caller = Caller(OPERATOR)
    with anyio.fail_after(30):
        while True:
            try:
                if (await caller.call("GET", f"{context.url}/v1/state")).status == 200:
                    return
            except Exception:
                assert context.daemon.poll() is None, (context.folder / "daemon.log").read_text()
            await anyio.sleep(0.05)


def run_command(context, arguments):
    if arguments[0] in COMMANDS_WITH_URL and not any(
        argument.startswith("--url") for argument in arguments
    ):
        arguments = [*arguments, f"--url={context.url}"]
    command_line = [sys.executable, "-m", "hickorybeam", *arguments]
    env = os.environ | {"HICKORYBEAM_KEY": OPERATOR, "PAGER": "cat"}
    completed = subprocess.run(
        command_line, cwd=context.folder, capture_output=True, text=True, env=env, check=False
    )
    context.exit_code, context.output = completed.returncode, completed.stdout + completed.stderr
    match = re.search(r'"key": "([^"]+)"', completed.stdout)
    if match:
        context.key = match.group(1)


@when('the command "{command}" is run')
def step_command(context, command):
    run_command(context, command.split())


@when("that key is revoked by command")
def step_withdraw(context):
    run_command(context, ["key", "withdraw", context.key])
    assert context.exit_code == 0, context.output


@then('the command exits with {code:d} and prints "{text}"')
def step_exit(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.output)
    assert text in context.output, context.output


@then("a streamed chat call with that key to the daemon gets a complete response")
def step_answered(context):
    response = context.call(Caller(context.key).chat, context.url, "tiny", "hello")
    body = {"model": "tiny", "messages": [{"role": "user", "content": "hello"}], "max_tokens": 16}
    assert response.status == 200, response
    assert response.text == engine.answer_text(body), response.text


@then('a streamed chat call with that key to the daemon is refused with "{code}"')
def step_refused(context, code):
    response = context.call(Caller(context.key).chat, context.url, "tiny", "hello")
    assert response.code == code, response


@then("the daemon finishes a running stream after SIGTERM and exits with 0")
def step_graceful(context):
    run_command(context, ["key", "make", "small", "--json"])

    async def chat_during_sigterm():
        responses = []

        async def chat():
            caller = Caller(context.key)
            responses.append(await caller.chat(context.url, "tiny", "bye", max_tokens=200))

        async with anyio.create_task_group() as tg:
            tg.start_soon(chat)
            await anyio.sleep(0.3)
            context.daemon.send_signal(signal.SIGTERM)
        return responses[0]

    response = context.call(chat_during_sigterm)
    body = {"model": "tiny", "messages": [{"role": "user", "content": "bye"}], "max_tokens": 200}
    assert response.text == engine.answer_text(body), response
    assert context.daemon.wait(30) == 0, (context.folder / "daemon.log").read_text()
