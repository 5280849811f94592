"""The store's entries as this VM knows them, and what they say of the routing state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from hickorybeam.platform import (
    EVACUATION_PREFIX,
    WATCHED_PREFIXES,
    ConfigEntry,
    EvacuationEntry,
    InvalidEntry,
    ServerEntry,
    decode_entry,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, ValuesView

    from hickorybeam.clock import Clock
    from hickorybeam.gateway.routing_state import RoutingState
    from hickorybeam.model.routing import RoutingConfig
    from hickorybeam.store import KeyValue
    from hickorybeam.telemetry import Counters

__all__ = ("KnownEntries",)

SERVER_PREFIX = WATCHED_PREFIXES[1]
# A writer may leave many, and again and again.
INVALID_ENTRY_LOG_INTERVAL_S = 1


class KnownEntries:
    """Keeps the latest state of each entry, and writes what it says into the routing state.

    What it keeps is passed on to VMs that start. Of the configuration that is the one in force, not
    a later entry that can't be read, nor one of an older version.

    :param own_prefix: prefix of the gateway's own entries, which say nothing of it.
    :param on_config: called with each configuration that comes into force.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        counters: Counters,
        routing_state: RoutingState,
        own_prefix: str,
        on_config: Callable[[RoutingConfig], None],
    ) -> None:
        self._clock = clock
        self._routing_state = routing_state
        self._own_prefix = own_prefix
        self._on_config = on_config
        self._entries: dict[str, KeyValue] = {}
        self._removal_due_ms: dict[str, int] = {}
        self._invalid = counters.counter(
            "invalid_entries", "Entries of the store that could not be used"
        )

    def __iter__(self) -> Iterator[str]:
        """Return the keys."""
        return iter(self._entries)

    def __len__(self) -> int:
        """Return the number of entries."""
        return len(self._entries)

    def values(self) -> ValuesView[KeyValue]:
        """Return the entries."""
        return self._entries.values()

    def listed(self) -> list[KeyValue]:
        """Return the entries but for those that have been deleted and are kept for a while."""
        return [it for key, it in self._entries.items() if key not in self._removal_due_ms]

    def put(self, item: KeyValue) -> None:
        """Apply a new or changed entry, unless it or a later state of it is known."""
        if not item.key.startswith((*WATCHED_PREFIXES, self._own_prefix)):
            return
        known = self._entries.get(item.key)
        if known is not None and known.mod_revision >= item.mod_revision:
            return
        # First, so that an entry at which this ends is not met again by each read.
        self._entries[item.key] = item
        self._removal_due_ms.pop(item.key, None)
        if item.key.startswith(self._own_prefix) or self._apply(item):
            return
        del self._entries[item.key]
        if known is not None:
            self._entries[item.key] = known

    def _apply(self, item: KeyValue) -> bool:
        """Write what an entry says into the routing state.

        :return: whether it takes the place of the one that is kept.
        """
        match decode_entry(item.key, item.value):
            case ConfigEntry(config):
                if not self._routing_state.update_config(config, self._clock.now()):
                    return False
                logging.info("configuration version %d is in force", config.version)
                self._on_config(config)
            case ServerEntry(server):
                self._routing_state.update_server(server, self._clock.now())
            case EvacuationEntry(data_centre):
                logging.info("data centre %s is evacuated", data_centre)
                self._routing_state.evacuated_data_centres |= {data_centre}
            case InvalidEntry(key, reason):
                logging.log_every_n_seconds(
                    logging.WARNING,
                    "invalid entry %s ignored: %s",
                    INVALID_ENTRY_LOG_INTERVAL_S,
                    key,
                    reason,
                )
                self._invalid.inc()
                self._remove_server(key)
                return key.startswith(SERVER_PREFIX)
        return True

    def delete(self, key: str, *, keep_ms: int) -> None:
        """Apply an entry's deletion; a server's is applied after ``keep_ms`` unless it returns."""
        if key not in self._entries:
            return
        if key.startswith(EVACUATION_PREFIX):
            del self._entries[key]
            data_centre = key.removeprefix(EVACUATION_PREFIX)
            self._routing_state.evacuated_data_centres -= {data_centre}
            logging.info("data centre %s is in use again", data_centre)
        elif keep_ms and key.startswith(SERVER_PREFIX):
            if key not in self._removal_due_ms:
                self._removal_due_ms[key] = self._clock.now() + keep_ms
                logging.info("%s is gone, maybe as the store failed: kept for %d ms", key, keep_ms)
        else:
            self._remove(key)

    def remove_expired(self) -> None:
        """Remove servers whose entries were deleted and have not returned in time."""
        now = self._clock.now()
        for key in [key for key, due_ms in self._removal_due_ms.items() if due_ms <= now]:
            del self._removal_due_ms[key]
            self._remove(key)

    def _remove(self, key: str) -> None:
        self._entries.pop(key, None)
        self._remove_server(key)

    def _remove_server(self, key: str) -> None:
        """Remove the server of an entry; only what follows the prefix, all of it, is its id."""
        if key.startswith(SERVER_PREFIX):
            server_id = key.removeprefix(SERVER_PREFIX)
            self._routing_state.remove_server(server_id, self._clock.now())
