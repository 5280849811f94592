"""Carries out the decisions of policy/ for each call."""

from __future__ import annotations
