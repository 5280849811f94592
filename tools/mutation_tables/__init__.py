"""Tables of mutations, one for each part of the package."""

from __future__ import annotations

from tools.mutation_tables import (
    backends,
    crashes,
    ends,
    front,
    once,
    outside,
    repeats,
    runs,
    shares,
    streams,
    tickets,
    unframed,
)
from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS", "Mutation")

MUTATIONS: tuple[Mutation, ...] = (
    *shares.MUTATIONS,
    *once.MUTATIONS,
    *tickets.MUTATIONS,
    *front.MUTATIONS,
    *backends.MUTATIONS,
    *streams.MUTATIONS,
    *crashes.MUTATIONS,
    *repeats.MUTATIONS,
    *ends.MUTATIONS,
    *outside.MUTATIONS,
    *runs.MUTATIONS,
    *unframed.MUTATIONS,
)
