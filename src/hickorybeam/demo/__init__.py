"""A whole deployment in one process: the main job, and the base of end-to-end tests."""

from __future__ import annotations

from hickorybeam.demo.backends import Backends, start_backends
from hickorybeam.demo.caller import NO_ANSWER, Caller, Reply
from hickorybeam.demo.deployment import Deployment
from hickorybeam.demo.fleet import Fleet, start_fleet
from hickorybeam.demo.links import Links, start_links
from hickorybeam.demo.story import Story, run

__all__ = (
    "NO_ANSWER",
    "Backends",
    "Caller",
    "Deployment",
    "Fleet",
    "Links",
    "Reply",
    "Story",
    "run",
    "start_backends",
    "start_fleet",
    "start_links",
)
