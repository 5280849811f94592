"""Mutual TLS between VMs: both ends present a certificate of the fleet's authority.

A certificate names the fleet or one VM in a URI of its subject alternative names. It holds no
addresses, since VMs are replaced at any time and keep none.
"""

from __future__ import annotations

import ssl
from typing import TYPE_CHECKING, Any

from hickorybeam.errors import ErrorKind, GatewayError, Ran

if TYPE_CHECKING:
    from collections.abc import Callable

    from hickorybeam.settings import TlsSettings

__all__ = ("FLEET_URI", "check_certificate", "client_context", "server_context", "vm_uri")

FLEET_URI = "hickorybeam:fleet"
VM_URI = "hickorybeam:vm:"


def vm_uri(name: str) -> str:
    """Return the URI by which a certificate names one VM."""
    return VM_URI + name


def client_context(cfg: TlsSettings) -> ssl.SSLContext | None:
    """Return the context for connections to peers, ``None`` in plain mode."""
    if cfg.plain:
        return None
    context = _context(cfg, ssl.PROTOCOL_TLS_CLIENT)
    # ``check_certificate`` identifies peers by the URI in their certificate, not by address.
    context.check_hostname = False
    return context


def server_context(cfg: TlsSettings, on_refused: Callable[[], None]) -> ssl.SSLContext | None:
    """Return the context for connections from peers, ``None`` in plain mode.

    :param on_refused: called for each handshake that fails, such as with a certificate of
        another authority or with none.
    """
    if cfg.plain:
        return None
    context = _context(cfg, ssl.PROTOCOL_TLS_SERVER)
    context.sslobject_class = _counting(on_refused)
    return context


def check_certificate(certificate: dict[str, Any] | None, name: str) -> None:
    """Refuse a peer whose certificate names neither the fleet nor that VM.

    :param certificate: the peer's, as decoded by the ssl module.
    :param name: VM name that the peer claims; empty if it is not known yet.
    """
    found = [
        value for kind, value in (certificate or {}).get("subjectAltName", ()) if kind == "URI"
    ]
    if FLEET_URI in found:
        return
    if any(uri == vm_uri(name) or (not name and uri.startswith(VM_URI)) for uri in found):
        return
    raise GatewayError(
        ErrorKind.PEER_REFUSED, f"the certificate does not name {name or 'a VM'}", ran=Ran.NO
    )


def _context(cfg: TlsSettings, protocol: int) -> ssl.SSLContext:
    missing = tuple(
        f"peers.tls.{key}: expected a file, found nothing (or set peers.tls.plain)"
        for key in ("ca_file", "cert_file", "key_file")
        if not getattr(cfg, key)
    )
    if missing:
        raise GatewayError(ErrorKind.SETTINGS_INVALID, "peers.tls", faults=missing)
    context = ssl.SSLContext(protocol)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.verify_mode = ssl.CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    try:
        context.load_verify_locations(cfg.ca_file)
        context.load_cert_chain(cfg.cert_file, cfg.key_file)
    except OSError as exc:
        raise GatewayError(ErrorKind.SETTINGS_INVALID, f"peers.tls: {exc}") from exc
    return context


def _counting(on_refused: Callable[[], None]) -> type[ssl.SSLObject]:
    """Return a class of TLS connections that reports failed handshakes.

    asyncio closes such a connection before any code of this project sees it: without the hook, a
    fleet with a wrong authority would show only unreachable peers.
    """

    class CountedHandshake(ssl.SSLObject):
        def do_handshake(self) -> None:
            try:
                super().do_handshake()
            except (ssl.SSLWantReadError, ssl.SSLWantWriteError):
                raise
            except ssl.SSLError:
                on_refused()
                raise

    return CountedHandshake
