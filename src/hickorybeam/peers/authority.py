"""A development certificate authority, and certificates for entry VMs.

Operators with their own authority use that one and put the same URIs into its certificates.
"""

from __future__ import annotations

import datetime
import os
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from hickorybeam.errors import ErrorKind, GatewayError
from hickorybeam.peers.tls import FLEET_URI, vm_uri

if TYPE_CHECKING:
    from pathlib import Path

__all__ = ("IssuedCertificate", "make_authority", "make_certificate")

AUTHORITY_NAME = "authority"
FLEET_NAME = "fleet"
AUTHORITY_DAYS = 3650
CERTIFICATE_DAYS = 365
# The clocks of machines differ; a new certificate must be valid on all of them.
BACKDATED = datetime.timedelta(minutes=5)
PRIVATE_FILE_MODE = 0o600


class IssuedCertificate:
    """Paths of a certificate and its private key."""

    def __init__(self, folder: Path, name: str) -> None:
        self.cert_file = folder / f"{name}.crt"
        self.key_file = folder / f"{name}.key"


def make_authority(folder: Path, *, wall_ms: int) -> IssuedCertificate:
    """Create an authority and write its certificate and key.

    Raises ``SETTINGS_INVALID`` if there is one already: VMs with certificates of two authorities
    would refuse each other.
    """
    issued = IssuedCertificate(folder, AUTHORITY_NAME)
    if issued.key_file.exists():
        raise GatewayError(ErrorKind.SETTINGS_INVALID, f"{issued.key_file} exists already")
    folder.mkdir(parents=True, exist_ok=True)
    key = ec.generate_private_key(ec.SECP256R1())
    name = _name("hickorybeam development authority")
    usage = _usage(signs_certificates=True)
    builder = (
        _builder(name, name, key.public_key(), wall_ms, AUTHORITY_DAYS)
        .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
        .add_extension(usage, critical=True)
    )
    _write(issued, builder.sign(key, hashes.SHA256()), key)
    return issued


def make_certificate(
    folder: Path, *, wall_ms: int, vm: str = "", days: int = CERTIFICATE_DAYS
) -> IssuedCertificate:
    """Write a certificate signed by the authority in the same folder.

    :param vm: name of the VM for which it is; empty for the whole fleet.
    :param days: validity in days; a negative number makes an expired certificate.
    """
    authority = IssuedCertificate(folder, AUTHORITY_NAME)
    try:
        ca_cert = x509.load_pem_x509_certificate(authority.cert_file.read_bytes())
        ca_key = serialization.load_pem_private_key(authority.key_file.read_bytes(), None)
    except OSError as exc:
        raise GatewayError(ErrorKind.SETTINGS_INVALID, f"no authority: {exc}") from exc
    if not isinstance(ca_key, ec.EllipticCurvePrivateKey):
        raise GatewayError(ErrorKind.SETTINGS_INVALID, "the authority's key is not ours")
    key = ec.generate_private_key(ec.SECP256R1())
    uri = vm_uri(vm) if vm else FLEET_URI
    client_and_server = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH]
    issuer_key = x509.AuthorityKeyIdentifier.from_issuer_public_key(ca_key.public_key())
    builder = (
        _builder(_name(vm or FLEET_NAME), ca_cert.subject, key.public_key(), wall_ms, days)
        .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
        .add_extension(_usage(signs_certificates=False), critical=True)
        .add_extension(x509.ExtendedKeyUsage(client_and_server), critical=False)
        .add_extension(
            x509.SubjectAlternativeName([x509.UniformResourceIdentifier(uri)]), critical=False
        )
        .add_extension(issuer_key, critical=False)
    )
    issued = IssuedCertificate(folder, vm or FLEET_NAME)
    _write(issued, builder.sign(ca_key, hashes.SHA256()), key)
    return issued


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(
    subject: x509.Name,
    issuer: x509.Name,
    public: ec.EllipticCurvePublicKey,
    wall_ms: int,
    days: int,
) -> x509.CertificateBuilder:
    now = datetime.datetime.fromtimestamp(wall_ms / 1000, datetime.UTC)
    end = now + datetime.timedelta(days=days)
    return (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public)
        .serial_number(x509.random_serial_number())
        .not_valid_before(min(now, end) - BACKDATED)
        .not_valid_after(end)
        .add_extension(x509.SubjectKeyIdentifier.from_public_key(public), critical=False)
    )


def _usage(*, signs_certificates: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not signs_certificates,
        content_commitment=False,
        key_encipherment=False,
        data_encipherment=False,
        key_agreement=False,
        key_cert_sign=signs_certificates,
        crl_sign=signs_certificates,
        encipher_only=False,
        decipher_only=False,
    )


def _write(
    issued: IssuedCertificate, cert: x509.Certificate, key: ec.EllipticCurvePrivateKey
) -> None:
    private = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    descriptor = os.open(issued.key_file, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, PRIVATE_FILE_MODE)
    with os.fdopen(descriptor, "wb") as file:
        file.write(private)
    issued.cert_file.write_bytes(cert.public_bytes(serialization.Encoding.PEM))
