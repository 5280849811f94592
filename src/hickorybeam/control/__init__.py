"""Control of engines: a lease per data centre, whose holder sends orders to the engines."""

from __future__ import annotations

from hickorybeam.control.lease import ControlLease
from hickorybeam.control.lease_term import LeaseTerm, WeightTransferLimiter
from hickorybeam.control.order_client import HttpOrderClient
from hickorybeam.control.plan import EngineState, Order, OrderKind, next_order
from hickorybeam.control.service import ControlService

__all__ = (
    "ControlLease",
    "ControlService",
    "EngineState",
    "HttpOrderClient",
    "Order",
    "OrderKind",
    "LeaseTerm",
    "WeightTransferLimiter",
    "next_order",
)
