from __future__ import annotations

import tempfile
from functools import reduce
from pathlib import Path

from behave import given, then, when

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.settings import load_settings


@given("a settings file")
def step_file(context):
    folder = context.stack.enter_context(tempfile.TemporaryDirectory())
    context.settings_path = Path(folder) / "vm.json"
    context.settings_path.write_text(context.text)


@when('the settings file has "{old}" replaced by "{new}"')
@when('the settings file has "{old}" replaced by ""')
def step_replace(context, old, new=""):
    text = context.settings_path.read_text()
    assert old in text
    context.settings_path.write_text(text.replace(old, new, 1))


def faults_of(context):
    try:
        load_settings(context.settings_path)
    except GatewayError as exc:
        assert exc.kind is ErrorKind.SETTINGS_INVALID
        return exc.faults
    raise AssertionError("the settings loaded")


@then('loading the settings reports exactly "{fault}"')
def step_fault(context, fault):
    assert faults_of(context) == (f"{context.settings_path}: {fault}",), faults_of(context)


@then("loading the settings reports {count:d} faults")
def step_count(context, count):
    assert len(faults_of(context)) == count, faults_of(context)


@then('the settings load with "{key}" as "{value}"')
def step_loads(context, key, value):
    cfg = load_settings(context.settings_path)
    assert str(reduce(getattr, key.split("."), cfg)) == value
