"""Port to the platform's key-value service; its clients are separate modules."""

from __future__ import annotations

from hickorybeam.store.port import (
    MAX_VALUE_BYTES,
    Compare,
    Delete,
    KeyValue,
    Platform,
    PollingPlatform,
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
