"""A small deployment as its operator and its callers write it on the platform's wire."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from hickorybeam.platform import names

if TYPE_CHECKING:
    from hickorybeam.http1 import RawHeaders

__all__ = ("HOST", "KEYS", "REGIONS", "account", "caller_headers", "first_config", "route")

REGIONS = {"north-1": "north", "north-2": "north", "south-1": "south"}
KEYS = {"small": "key-of-small", "large": "key-of-large", "northern": "key-of-northern"}
HOST = "shop.example"


def route(name: str, kind: str, service: str, **more: object) -> dict[str, Any]:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout-ms": 3_000,
        "target-latency-ms": 200,
        "priority": 1,
        "service": service,
        "max-attempts": 2,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "home-regions": [],
        **more,
    }


def account(name: str, **more: object) -> dict[str, Any]:
    """Return an account as the operator writes it, with no bound on its rate."""
    return {
        "name": name,
        "api-keys": [KEYS[name]],
        "unit": "tokens",
        "uncached-tokens": 10,
        "rate-per-s": 0,
        "burst": 0,
        "home-regions": [],
        **more,
    }


def first_config() -> dict[str, Any]:
    """Return two services and a route for each way in which requests may be repeated."""
    return {
        "version": 3,
        "routes": [
            route("look", "safe", "books"),
            route("order", "unsafe", "books"),
            route("chat", "streaming", "model"),
            route("plan", "streaming", "model", resumable=True),
            route("local", "safe", "books", **{"home-regions": ["south"]}),
        ],
        "services": [
            {"name": "books", "health-path": "/health", "cold-start-s": 0, "cold-per-s": 0},
            {
                "name": "model",
                "health-path": "/health",
                "cold-start-s": 2,
                "cold-per-s": 2,
                "engine": {"slots": 8, "kv-cache-tokens": 10_000},
            },
        ],
        "limits": {
            "max-header-bytes": 4_096,
            "max-body-bytes": 65_536,
            "header-timeout-ms": 500,
            "idle-timeout-ms": 2_000,
        },
        "tenants": [
            account("small"),
            account("large"),
            account("northern", **{"home-regions": ["north"]}),
        ],
    }


def caller_headers(
    request_id: str, *, key: str | None, wait_ms: int, tokens: bytes | None = None
) -> RawHeaders:
    """Return the headers of a caller's request.

    :param key: an account's name, a key, or ``None`` to send none.
    :param tokens: prompt and output tokens as they are told, if they are.
    """
    headers = [
        (b"host", HOST.encode()),
        (names.REQUEST_ID, request_id.encode()),
        (names.DEADLINE, b"%d" % wait_ms),
    ]
    if key is not None:
        headers.append((names.AUTHORIZATION, b"Bearer " + KEYS.get(key, key).encode()))
    if tokens is not None:
        headers.append((names.TOKENS, tokens))
    return tuple(headers)
