"""A certificate authority for tests and trials with TLS."""

import datetime
import ipaddress
from pathlib import Path
from typing import Final

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from almondspan_platform.tls import TlsFiles

__all__ = ["Authority"]

LOOPBACK: Final = "127.0.0.1"
DAY: Final = datetime.timedelta(days=1)


class Authority:
    """Signs certificates of processes that are identified by an IP address."""

    def __init__(self, name: str, now: datetime.datetime) -> None:
        self._now: Final = now
        self._key: Final = ec.generate_private_key(ec.SECP256R1())
        self._name: Final = _common_name(name)
        constraints = x509.BasicConstraints(ca=True, path_length=0)
        self.certificate: Final = (
            self._builder(self._name, self._key, now + DAY)
            .add_extension(constraints, critical=True)
            .sign(self._key, hashes.SHA256())
        )

    def write(
        self,
        folder: Path,
        address: str = LOOPBACK,
        lifetime: datetime.timedelta = DAY,
        trusted: "Authority | None" = None,
    ) -> TlsFiles:
        """Write a new certificate with its key and the trusted authority to `folder`.

        Parameters
        ----------
        folder : Path
            Where the files are written; existing files are replaced.
        address : str
            The IP address that the certificate names.
        lifetime : timedelta
            Time until the certificate expires; if negative, it has expired already.
        trusted : Authority or None
            The authority to trust for peers; this authority by default.
        """
        folder.mkdir(parents=True, exist_ok=True)
        files = TlsFiles(folder / "cert.pem", folder / "key.pem", folder / "ca.pem")
        key = ec.generate_private_key(ec.SECP256R1())
        names = [x509.IPAddress(ipaddress.ip_address(address))]
        certificate = (
            self._builder(_common_name("process"), key, self._now + lifetime)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .sign(self._key, hashes.SHA256())
        )
        files.certificate.write_bytes(_pem(certificate))
        files.key.write_bytes(_key_pem(key))
        files.authority.write_bytes(_pem((trusted or self).certificate))
        return files

    def _builder(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        until: datetime.datetime,
    ) -> x509.CertificateBuilder:
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(self._now - 2 * DAY)
            .not_valid_after(until)
        )


def _common_name(name: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)


def _key_pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
