"""Mutations of forwarding to other VMs, and the answers to callers."""

from __future__ import annotations

from tools.mutation_tables.mutation import Mutation

__all__ = ("MUTATIONS",)

MUTATIONS: tuple[Mutation, ...] = (
    # forwarding
    Mutation(
        "the receiver sets the hop",
        "peers/admission.py",
        "    return replace(call, hops=1)",
        "    return call",
        "peers",
    ),
    Mutation(
        "residency is checked again where it runs",
        "peers/admission.py",
        "    if region not in allowed:",
        "    if False:",
        "peers",
    ),
    Mutation(
        "a withdrawn key is refused where it runs",
        "peers/admission.py",
        "    if state.is_revoked(call.key_digest):",
        "    if False:",
        "peers",
    ),
    Mutation(
        "a new process is not the old one",
        "peers/admission.py",
        "    if to.incarnation and to != own_id:",
        "    if False:",
        "peers",
    ),
    # callers
    Mutation(
        "residency is decided on the headers",
        "front/context.py",
        "        if self.cfg.vm.region not in identity.allowed_regions:",
        "        if False:",
        "front/outcomes.feature",
    ),
    Mutation(
        "a second misdirect is final",
        "front/context.py",
        "        if req.header(REDIRECTED_HEADER):",
        "        if False:",
        "front/outcomes.feature",
    ),
    Mutation(
        "a VM that learns nothing stops after its bound",
        "front/context.py",
        "        if stale_after_ms and self.config.age_ms() > stale_after_ms:",
        "        if False:",
        "front/outcomes.feature",
    ),
    Mutation(
        "a leaving VM takes no new work",
        "front/context.py",
        "        if self.draining:",
        "        if False:",
        "front",
    ),
)
