"""The platform's key-value service: the port and the client behind it."""

from __future__ import annotations

from hickorybeam.store.etcd import EtcdPlatform
from hickorybeam.store.port import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KeyValue,
    Platform,
    Put,
    ReadResult,
    TxnResult,
    WatchBatch,
    Write,
)

__all__ = (
    "MAX_VALUE_BYTES",
    "Compare",
    "Delete",
    "EtcdPlatform",
    "KeyValue",
    "Platform",
    "Put",
    "ReadResult",
    "TxnResult",
    "WatchBatch",
    "Write",
)
