"""Small stand-ins for the platform, engines and plain services."""

from __future__ import annotations
