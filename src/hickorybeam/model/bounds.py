"""Types of the numbers that VMs tell each other and keep in the store."""

from __future__ import annotations

from typing import Annotated

import msgspec

__all__ = ("BoundedFloat", "BoundedInt", "Digest", "NonNegativeFloat", "Port", "Revision")

# What is received is added up, and told to other VMs. A sum that needs more than 64 bits can't be
# encoded, and one with NaN or infinity can't be turned into an integer.
MAX_NUMBER = 2**53
BoundedInt = Annotated[int, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
BoundedFloat = Annotated[float, msgspec.Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
# A revision of the store, or the number of a lease, which are only compared.
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
Port = Annotated[int, msgspec.Meta(ge=0, le=65_535)]
# Longer than any in use. VMs tell each other dozens of digests in a datagram, which is not sent at
# all if it is too large.
MAX_DIGEST_BYTES = 32
Digest = Annotated[bytes, msgspec.Meta(max_length=MAX_DIGEST_BYTES)]
# May be infinite, and is no NaN.
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
