from __future__ import annotations

import subprocess
import sys

from behave import then, when

# It takes its seconds, some to start, and a calm span at the end.
LIMIT_S = 120


@when('the gateway\'s soak runs for {seconds:d} s with seed {seed:d} and only the fault "{fault}"')
def step_soak(context, seconds, seed, fault):
    run_soak(context, "gateway", [f"--seed={seed}", f"--seconds={seconds}", f"--only={fault}"])


@when("the soak of {name} runs for {seconds:d} s with seed {seed:d} and {faults}")
def step_named_soak(context, name, seconds, seed, faults):
    is_whole = faults in ("all faults", "all crowds")
    only = [] if is_whole else [f"--only={faults.split()[-1].strip(chr(34))}"]
    run_soak(context, name, [f"--seed={seed}", f"--seconds={seconds}", *only])


def run_soak(context, name, options):
    command = [sys.executable, "-m", f"bench.soak.{name}"]
    context.soak = subprocess.run(
        [*command, *options], capture_output=True, text=True, timeout=LIMIT_S, check=False
    )


@then("it tells no violation")
def step_no_violation(context):
    assert context.soak.returncode == 0, context.soak.stdout + context.soak.stderr
    assert "0 violations" in context.soak.stdout
