"""Services and state that handlers use, with authentication and admission by headers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hickorybeam.errors import ErrorKind, GatewayError, Retry, error_response
from hickorybeam.front.identity import Identity, extract_secret, identify, is_operator
from hickorybeam.model import VmState
from hickorybeam.policy.entry_order import entry_order
from hickorybeam.policy.route_table import PrefixTable

if TYPE_CHECKING:
    from hickorybeam.clock import Clock
    from hickorybeam.front.request import Request
    from hickorybeam.kernel import Kernel
    from hickorybeam.model import EntryVm, ServiceRoute
    from hickorybeam.ports import ConfigView, Dispatch, IdempotentCalls, Members
    from hickorybeam.settings import Settings
    from hickorybeam.telemetry import Counters

__all__ = ("REDIRECTED_HEADER", "FrontContext")

# Set by a caller on a request that it sends to an entry listed in a refusal.
REDIRECTED_HEADER = b"x-hickorybeam-redirected"
# A refusal lists this many other VMs: one to use, and two more in case it fails.
MAX_LISTED_ENTRIES = 3


@dataclass(slots=True, kw_only=True)
class FrontContext:
    """Services and state that handlers use.

    :param draining: set when this VM starts to drain; new calls are then refused.
    """

    cfg: Settings
    clock: Clock
    counters: Counters
    kernel: Kernel
    config: ConfigView
    dispatch: Dispatch
    members: Members | None
    once: IdempotentCalls | None
    draining: bool = False
    # Configuration position and the route table built from it, rebuilt when the position changes.
    _routes: tuple[int, PrefixTable[ServiceRoute]] = field(
        default_factory=lambda: (0, PrefixTable(()))
    )

    def match_route(self, req: Request) -> ServiceRoute | None:
        """Return the configured route for a request's host and path, if there is one."""
        state = self.config.current()
        if self._routes[0] != state.position:
            self._routes = (state.position, PrefixTable(state.routes.values()))
        host = req.header(b"host").lower().partition(":")[0]
        return self._routes[1].match(host, req.path)

    def request_secret(self, req: Request) -> str:
        """Return the key from a request's headers.

        :raises GatewayError: ``KEY_MISSING``.
        """
        return extract_secret(req.header(b"authorization"), req.header(b"x-api-key"))

    def require_operator(self, req: Request) -> None:
        """Require an operator's key.

        :raises GatewayError: ``KEY_MISSING`` or ``OPERATOR_ONLY``.
        """
        secret = self.request_secret(req)
        if not is_operator(self.config.current(), secret, self.cfg.front.operator_keys):
            raise GatewayError(ErrorKind.OPERATOR_ONLY)

    def authenticate(self, req: Request) -> Identity:
        """Authenticate a caller by the current configuration.

        :raises GatewayError: the key is missing, unknown or revoked, or this VM's configuration
            is missing or too old.
        """
        secret = self.request_secret(req)
        state = self.config.current()
        if not state.position:
            raise self.redirect_error(ErrorKind.NOT_READY)
        stale_after_ms = self.cfg.config.stale_after_ms
        if stale_after_ms and self.config.age_ms() > stale_after_ms:
            # A key revoked since then would still be accepted; the setting bounds how long.
            raise self.redirect_error(ErrorKind.CONFIG_STALE)
        return identify(state, secret)

    def admit(self, req: Request) -> Identity:
        """Authenticate a call and check residency and draining, before its body is read.

        :raises GatewayError: as ``authenticate``, or ``DRAINING``, ``RESIDENCY``,
            ``RESIDENCY_UNKNOWN`` or ``HOP_LIMIT``.
        """
        identity = self.authenticate(req)
        if identity.allowed_regions is None:
            raise GatewayError(ErrorKind.RESIDENCY_UNKNOWN)
        if self.cfg.vm.region not in identity.allowed_regions:
            raise self.wrong_region_error(req, identity)
        if self.draining:
            raise self.redirect_error(ErrorKind.DRAINING, identity.allowed_regions)
        return identity

    def wrong_region_error(self, req: Request, identity: Identity) -> GatewayError:
        """Return the error for a caller whose data must not be processed in this region.

        Two VMs that disagree on a residency rule could redirect a caller between them for
        ever, so a request that was redirected before gets ``HOP_LIMIT`` without entries.
        """
        if req.header(REDIRECTED_HEADER):
            return GatewayError(ErrorKind.HOP_LIMIT, "redirected to a VM that may not serve it")
        return self.redirect_error(ErrorKind.RESIDENCY, identity.allowed_regions)

    def redirect_error(
        self, kind: ErrorKind, allowed_regions: frozenset[str] | None = None
    ) -> GatewayError:
        """Return an error that lists other VMs."""
        return GatewayError(kind, entries=self.other_addresses(allowed_regions))

    def add_entries(
        self, exc: GatewayError, allowed_regions: frozenset[str] | None
    ) -> GatewayError:
        """Add other VMs to an error whose retry must go elsewhere and that lists none."""
        if error_response(exc.kind).retry is Retry.ELSEWHERE and not exc.entries:
            exc.entries = self.other_addresses(allowed_regions)
        return exc

    def other_addresses(self, allowed_regions: frozenset[str] | None) -> tuple[str, ...]:
        """Return addresses of other serving VMs, in any region if ``allowed_regions`` is None."""
        if self.members is None:
            return ()
        own_vm = self.members.own_vm
        vms = [vm for vm in self.members.vms() if vm.id != own_vm.id]
        regions = frozenset(vm.region for vm in vms) if allowed_regions is None else allowed_regions
        ranked_vms = self.order_entries(vms, regions, caller_key=own_vm.id.name)
        return tuple(vm.http_address for vm in ranked_vms[:MAX_LISTED_ENTRIES])

    def order_entries(
        self, vms: list[EntryVm], allowed_regions: frozenset[str], *, caller_key: str
    ) -> tuple[EntryVm, ...]:
        """Return the serving VMs of these regions, best first.

        :param caller_key: spreads callers over VMs that rank equally.
        """
        vm = self.cfg.vm
        return entry_order(
            vms,
            region=vm.region,
            data_centre=vm.data_centre,
            allowed=allowed_regions,
            caller_key=caller_key,
        )

    def entries_for(self, identity: Identity, *, client_address: str) -> tuple[EntryVm, ...]:
        """Return the VMs that a caller should use, best first; this one unless it is draining."""
        if self.members is None or identity.allowed_regions is None:
            return ()
        own_id = self.members.own_vm.id
        vms = [
            vm
            for vm in self.members.vms()
            if vm.state is VmState.SERVING and not (self.draining and vm.id == own_id)
        ]
        return self.order_entries(
            vms, identity.allowed_regions, caller_key=f"{identity.account.name} {client_address}"
        )
