"""Frozen data classes shared by all packages; nothing here does I/O."""

from __future__ import annotations

from hickorybeam.model.calls import Call, CallKind, Header
from hickorybeam.model.config import (
    BackendKind,
    BackendServer,
    ClientAccount,
    ClientKey,
    ConfigObject,
    ModelService,
    ObjectKind,
    ObjectRef,
    PlainService,
    Region,
    ResidencyRule,
    ServiceRoute,
    key_digest,
    ref_of,
)
from hickorybeam.model.fleet import EntryVm, LoadReport, RegionLoad, VmId, VmState
from hickorybeam.model.responses import (
    ResponseChunk,
    ResponseEnd,
    ResponseHead,
    ResponsePart,
    Usage,
)
from hickorybeam.model.state import ConfigState, Versioned
from hickorybeam.model.ticket import ChangeTicket

__all__ = (
    # configured by operators
    "BackendKind",
    "BackendServer",
    "ChangeTicket",
    "ClientAccount",
    "ClientKey",
    "ConfigObject",
    "ConfigState",
    "ModelService",
    "ObjectKind",
    "ObjectRef",
    "PlainService",
    "Region",
    "ResidencyRule",
    "ServiceRoute",
    "Versioned",
    "key_digest",
    "ref_of",
    # requests and running VMs
    "ResponseChunk",
    "ResponseEnd",
    "ResponseHead",
    "ResponsePart",
    "Call",
    "CallKind",
    "EntryVm",
    "Header",
    "LoadReport",
    "RegionLoad",
    "Usage",
    "VmId",
    "VmState",
)
