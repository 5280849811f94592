"""Mutations of change tickets."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

MUTATIONS: tuple[Mutation, ...] = (
    # change tickets
    Mutation(
        "an earlier number does not overwrite a later one",
        "tickets/apply.py",
        "    if later:\n        return Stale(later)",
        "    if False:\n        return Stale(later)",
        "tickets",
    ),
    Mutation(
        "a number keeps its content",
        "tickets/apply.py",
        "return Accepted(known.position) if same else Conflict(known.position)",
        "return Accepted(known.position)",
        "tickets",
    ),
    Mutation(
        "a ticket with faults is refused",
        "tickets/apply.py",
        "    return Faulty(faults) if faults else Fresh()",
        "    return Fresh()",
        "tickets",
    ),
)
