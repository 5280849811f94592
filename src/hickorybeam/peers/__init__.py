"""Communication between entry VMs: typed requests, forwarded calls, membership."""

from __future__ import annotations

from hickorybeam.peers.authority import IssuedCertificate, make_authority, make_certificate
from hickorybeam.peers.codec import pack, unpack
from hickorybeam.peers.members import MembersService
from hickorybeam.peers.service import PeersService

__all__ = (
    "IssuedCertificate",
    "MembersService",
    "PeersService",
    "make_authority",
    "make_certificate",
    "pack",
    "unpack",
)
