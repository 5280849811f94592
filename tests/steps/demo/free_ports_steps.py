from __future__ import annotations

import os
import subprocess
import sys

from behave import then, when

from hickorybeam.demo import deployment
from hickorybeam.demo.deployment import free_ports

OTHER_PROCESS = """
import itertools, os, sys
from hickorybeam.demo import deployment
os.getpid = lambda: int(sys.argv[1])
deployment._offset = itertools.count(int(sys.argv[2]))
print(*deployment.free_ports(int(sys.argv[3])))
"""


@when("this process asks for {count:d} free ports")
def step_ports(context, count):
    # Before the call, so that the other process looks at the same ports.
    context.offset = next(deployment._offset) + 1
    context.ports = free_ports(count)


@when("another process asks for {count:d} free ports from the same start")
def step_other_ports(context, count):
    args = [str(it) for it in (os.getpid(), context.offset, count)]
    command = [sys.executable, "-c", OTHER_PROCESS, *args]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, check=True)
    context.other_ports = [int(port) for port in done.stdout.split()]


@then("all of them differ")
def step_ports_differ(context):
    assert not set(context.ports) & set(context.other_ports), context.other_ports
