from __future__ import annotations

import inspect
import re
import subprocess
import sys
from pathlib import Path

from behave import then

from hickorybeam.cli.main import Commands
from hickorybeam.errors import ErrorKind
from hickorybeam.model import ChangeTicket
from hickorybeam.settings import load_file, load_settings

ROOT = Path(__file__).resolve().parents[3]
PAGES = [ROOT / "README.md", ROOT / "CONTRIBUTING.md", *sorted((ROOT / "docs").rglob("*.md"))]


def find_in_pages(pattern):
    for page in PAGES:
        for match in re.finditer(pattern, page.read_text(), re.M):
            yield page, match


@then("docs/operators/reference.md is what tools/make_reference.py writes")
def step_reference(context):
    command_line = [sys.executable, str(ROOT / "tools" / "make_reference.py"), "--print"]
    completed = subprocess.run(command_line, capture_output=True, text=True, check=True)
    page = (ROOT / "docs" / "operators" / "reference.md").read_text()
    assert page.strip() == completed.stdout.strip(), "run tools/make_reference.py"


@then('each "hickorybeam" line of README.md and docs/ names a known command with known options')
def step_commands(context):
    count = 0
    for page, match in find_in_pages(r"^    hickorybeam ([^#\n]+)"):
        arguments = match.group(1).split()
        target = Commands()
        while arguments and re.fullmatch(r"[a-z]+", arguments[0]) and hasattr(target, arguments[0]):
            target = getattr(target, arguments.pop(0))
        assert callable(target), (page, match.group(0))
        allowed = inspect.signature(target).parameters
        for argument in arguments:
            if argument.startswith("--"):
                name = argument[2:].partition("=")[0].replace("-", "_")
                assert name in allowed, (page, match.group(0), name)
        count += 1
    assert count >= 8, count


@then("each link of README.md, CONTRIBUTING.md and docs/ leads to a file")
def step_links(context):
    for page, match in find_in_pages(r"\]\(([^)#:]+)\)"):
        assert (page.parent / match.group(1)).exists(), (page, match.group(1))


@then("each examples/ path in README.md and docs/ passes its check")
def step_examples(context):
    paths = {match.group(0) for _, match in find_in_pages(r"examples/[\w/.-]+\.json")}
    assert paths
    for path in paths:
        if "/vms/" in path:
            load_settings(ROOT / path)
        else:
            load_file(ChangeTicket, ROOT / path, kind=ErrorKind.TICKET_INVALID)
