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


def lines(pattern):
    for page in PAGES:
        for found in re.finditer(pattern, page.read_text(), re.M):
            yield page, found


@then("docs/operators/reference.md is what tools/make_reference.py writes")
def step_reference(context):
    cmd = [sys.executable, str(ROOT / "tools" / "make_reference.py"), "--print"]
    done = subprocess.run(cmd, capture_output=True, text=True, check=True)
    page = (ROOT / "docs" / "operators" / "reference.md").read_text()
    assert page.strip() == done.stdout.strip(), "run tools/make_reference.py"


@then('each "hickorybeam" line of README.md and docs/ names a known command with known options')
def step_commands(context):
    seen = 0
    for page, found in lines(r"^    hickorybeam ([^#\n]+)"):
        words = found.group(1).split()
        target = Commands()
        while words and re.fullmatch(r"[a-z]+", words[0]) and hasattr(target, words[0]):
            target = getattr(target, words.pop(0))
        assert callable(target), (page, found.group(0))
        allowed = inspect.signature(target).parameters
        for word in words:
            if word.startswith("--"):
                name = word[2:].partition("=")[0].replace("-", "_")
                assert name in allowed, (page, found.group(0), name)
        seen += 1
    assert seen >= 8, seen


@then("each link of README.md, CONTRIBUTING.md and docs/ leads to a file")
def step_links(context):
    for page, found in lines(r"\]\(([^)#:]+)\)"):
        assert (page.parent / found.group(1)).exists(), (page, found.group(1))


@then("each examples/ path in README.md and docs/ passes its check")
def step_examples(context):
    paths = {found.group(0) for _, found in lines(r"examples/[\w/.-]+\.json")}
    assert paths
    for path in paths:
        if "/vms/" in path:
            load_settings(ROOT / path)
        else:
            load_file(ChangeTicket, ROOT / path, kind=ErrorKind.TICKET_INVALID)
