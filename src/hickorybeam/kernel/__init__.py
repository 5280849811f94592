"""Runs named services in supervised tasks and lets them find each other by name."""

from __future__ import annotations

from hickorybeam.kernel.kernel import Kernel, KernelError, Service, Started
from hickorybeam.kernel.mailbox import Mailbox, Reply

__all__ = ("Kernel", "KernelError", "Mailbox", "Reply", "Service", "Started")
