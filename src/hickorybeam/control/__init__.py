"""Per-data-centre leases and orders to engines."""

from __future__ import annotations

from hickorybeam.control.lease import ControlLease
from hickorybeam.control.plan import EngineState, Order, OrderKind, next_order
from hickorybeam.control.sender import HttpOrders
from hickorybeam.control.service import ControlService
from hickorybeam.control.lease_term import LeaseTerm, WeightRate

__all__ = (
    "ControlLease",
    "ControlService",
    "EngineState",
    "HttpOrders",
    "Order",
    "OrderKind",
    "LeaseTerm",
    "WeightRate",
    "next_order",
)
