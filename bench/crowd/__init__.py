"""Crowds of clients that don't behave, for tests and soaks."""

from __future__ import annotations

from bench.crowd.clients import Crowd, CrowdClient
from bench.crowd.kinds import BODY_BYTES, END, HEAD_BYTES, head, payloads
from bench.crowd.memory import MB, SampledProcess, sample

__all__ = (
    "BODY_BYTES",
    "Crowd",
    "CrowdClient",
    "END",
    "HEAD_BYTES",
    "MB",
    "SampledProcess",
    "head",
    "payloads",
    "sample",
)
