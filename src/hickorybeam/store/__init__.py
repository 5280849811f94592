"""The platform's key-value service: the port; its clients are modules of their own."""

from __future__ import annotations

from hickorybeam.store.port import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KeyValue,
    PollingPlatform,
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
    "KeyValue",
    "PollingPlatform",
    "Platform",
    "Put",
    "ReadResult",
    "TxnResult",
    "WatchBatch",
    "Write",
)
