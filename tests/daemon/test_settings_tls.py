"""Unusable certificates and keys are reported as faults of the settings."""

import datetime
import ipaddress

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from almondspan_daemon.settings import EntrySettings, SettingsFaults, load_settings

SETTINGS = """
[process]
role = "entry"
id_prefix = "entry-1"
region = "viti"
place = "suva"
host = "10.0.0.7"
[store]
addresses = ["http://127.0.0.1:2379"]
[entry]
http_port = 0
agent_port = 0
admin_port = 0
[tls]
ca = "FOLDER/CA"
cert = "FOLDER/CERT"
key = "FOLDER/KEY"
"""


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    """A folder with two self-signed certificates, their keys, and other files."""
    path = tmp_path_factory.mktemp("certificates")
    for name in ("one", "two"):
        certificate, key = make_certificate(name)
        (path / f"{name}.pem").write_bytes(certificate)
        (path / f"{name}.key").write_bytes(key_bytes(key, None))
    (path / "locked.key").write_bytes(key_bytes(key, b"secret"))
    (path / "text").write_text("no certificate")
    (path / "empty").write_text("")
    return path


def make_certificate(name):
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    begins = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("10.0.0.7"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(begins)
        .not_valid_after(begins + datetime.timedelta(days=3650))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    return certificate.public_bytes(serialization.Encoding.PEM), key


def key_bytes(key, passphrase):
    encryption = serialization.NoEncryption()
    if passphrase is not None:
        encryption = serialization.BestAvailableEncryption(passphrase)
    encoding, form = serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8
    return key.private_bytes(encoding, form, encryption)


@pytest.mark.parametrize(
    ("files", "keys"),
    [
        pytest.param(("one.pem", "two.pem", "two.key"), [], id="sound"),
        pytest.param(("one.pem", "one.pem", "two.key"), ["tls.cert"], id="other key"),
        pytest.param(("text", "one.pem", "one.key"), ["tls.ca"], id="no authority"),
        pytest.param(("empty", "one.pem", "one.key"), ["tls.ca"], id="empty"),
        pytest.param(("one.pem", "text", "one.key"), ["tls.cert"], id="no certificate"),
        pytest.param(("one.pem", "two.pem", "text"), ["tls.cert"], id="no key"),
        pytest.param(
            ("one.pem", "two.pem", "locked.key"), ["tls.cert"], id="key with passphrase"
        ),
        pytest.param(
            ("text", "text", "one.key"), ["tls.ca", "tls.cert"], id="both at once"
        ),
        pytest.param(
            ("no", "one.pem", "no"),
            ["tls.ca", "tls.key"],
            id="files that are not there",
        ),
    ],
)
def test_certificate_files(folder, tmp_path, files, keys):
    text = SETTINGS.replace("FOLDER", str(folder))
    for placeholder, file in zip(("CA", "CERT", "KEY"), files, strict=True):
        text = text.replace(f"/{placeholder}", f"/{file}")
    path = tmp_path / "node.toml"
    path.write_text(text)
    found = load_settings(path)
    if keys:
        assert isinstance(found, SettingsFaults), found
        assert [fault.key for fault in found.faults] == keys
    else:
        assert isinstance(found, EntrySettings), str(found)
        assert found.tls.enabled
