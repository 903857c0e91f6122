"""Mutual TLS, rejected peers, and certificates replaced while processes run."""

import asyncio
import datetime
import random
import ssl
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from cryptography import x509

from almondspan_platform.etcd_json import EtcdJsonStore
from almondspan_platform.store import ABSENT_REVISION, Found, Swapped, Unavailable
from almondspan_platform.tls import TlsCheck, TlsFiles, TlsIdentity, TlsOptions
from almondspan_standins.certificates import Authority
from almondspan_standins.serving import HttpServer
from almondspan_standins.store_app import StoreApp
from almondspan_standins.store_core import StoreCore
from almondspan_standins.virtual_time import run_in_virtual_time

LOOPBACK = "127.0.0.1"
NOW = datetime.datetime.now(datetime.UTC)
EXPIRED = -datetime.timedelta(days=1)
OURS, THEIRS = Authority("ours", NOW), Authority("theirs", NOW)


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    try:
        while data := await reader.readline():
            writer.write(data)
            await writer.drain()
    except OSError:
        pass
    finally:
        writer.close()


@asynccontextmanager
async def echo_server(identity: TlsIdentity) -> AsyncIterator[int]:
    server = await asyncio.start_server(
        echo, LOOPBACK, 0, ssl=identity.server_context()
    )
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


async def peer_serial(port: int, context: ssl.SSLContext) -> str:
    """Return the server's certificate serial number, "" if either side rejects."""
    try:
        async with asyncio.timeout(10.0):
            reader, writer = await asyncio.open_connection(LOOPBACK, port, ssl=context)
            writer.write(b"x\n")
            answer = await reader.readline()
            peer = writer.get_extra_info("peercert")
            writer.close()
    except (ssl.SSLError, ConnectionError):
        return ""
    return str(peer["serialNumber"]) if answer == b"x\n" else ""


def serial_of(files: TlsFiles) -> str:
    loaded = x509.load_pem_x509_certificate(files.certificate.read_bytes())
    text = f"{loaded.serial_number:X}"
    return text if len(text) % 2 == 0 else f"0{text}"


Write = Callable[[Path], TlsFiles]


@pytest.mark.parametrize(
    ("server", "client", "connects"),
    [
        pytest.param(OURS.write, OURS.write, True, id="mutual"),
        pytest.param(
            OURS.write,
            lambda path: THEIRS.write(path, trusted=OURS),
            False,
            id="client-of-another-authority",
        ),
        pytest.param(
            lambda path: THEIRS.write(path, trusted=OURS),
            OURS.write,
            False,
            id="server-of-another-authority",
        ),
        pytest.param(
            lambda path: OURS.write(path, address="127.0.0.9"),
            OURS.write,
            False,
            id="server-of-another-address",
        ),
        pytest.param(
            lambda path: OURS.write(path, lifetime=EXPIRED),
            OURS.write,
            False,
            id="server-expired",
        ),
        pytest.param(
            OURS.write,
            lambda path: OURS.write(path, lifetime=EXPIRED),
            False,
            id="client-expired",
        ),
    ],
)
async def test_handshake(
    tmp_path: Path, server: Write, client: Write, connects: bool
) -> None:
    server_files = server(tmp_path / "server")
    here = TlsIdentity(server_files)
    there = TlsIdentity(client(tmp_path / "client"))
    await here.start()
    await there.start()
    async with echo_server(here) as port:
        serial = await peer_serial(port, there.client_context())
    assert serial == (serial_of(server_files) if connects else "")
    await there.close()
    await here.close()


@pytest.mark.parametrize(
    ("options", "connects"),
    [
        pytest.param(TlsOptions(), False, id="mutual"),
        pytest.param(
            TlsOptions(requires_client_certificate=False), True, id="server-only"
        ),
    ],
)
async def test_client_without_certificate(
    tmp_path: Path, options: TlsOptions, connects: bool
) -> None:
    files = OURS.write(tmp_path)
    identity = TlsIdentity(files, options)
    await identity.start()
    context_without_certificate = ssl.create_default_context(
        cafile=str(files.authority)
    )
    async with echo_server(identity) as port:
        assert bool(await peer_serial(port, context_without_certificate)) is connects
    await identity.close()


async def test_no_session_is_offered_for_resumption(tmp_path: Path) -> None:
    identity = TlsIdentity(OURS.write(tmp_path))
    await identity.start()
    async with echo_server(identity) as port:
        reader, writer = await asyncio.open_connection(
            LOOPBACK, port, ssl=identity.client_context()
        )
        writer.write(b"x\n")
        assert await reader.readline() == b"x\n"
        session = writer.get_extra_info("ssl_object").session
        assert session is None or not session.has_ticket
        writer.close()
    await identity.close()


async def test_replaced_files_apply_to_new_connections(tmp_path: Path) -> None:
    folder = tmp_path / "server"
    here = TlsIdentity(OURS.write(folder))
    there = TlsIdentity(OURS.write(tmp_path / "client"))
    await here.start()
    await there.start()
    old_context = there.client_context()
    async with echo_server(here) as port:
        reader, writer = await asyncio.open_connection(LOOPBACK, port, ssl=old_context)
        assert here.check() is TlsCheck.UNCHANGED
        replaced = OURS.write(folder)
        assert here.check() is TlsCheck.RELOADED
        assert await peer_serial(port, old_context) == serial_of(replaced)
        writer.write(b"still open\n")
        assert await reader.readline() == b"still open\n"
        writer.close()
        # After the authority is replaced, certificates of the old one are rejected.
        THEIRS.write(folder)
        THEIRS.write(tmp_path / "client")
        assert here.check() is TlsCheck.RELOADED
        assert await peer_serial(port, old_context) == ""
        assert there.check() is TlsCheck.RELOADED
        assert await peer_serial(port, old_context) == ""
        assert await peer_serial(port, there.client_context()) != ""
    await there.close()
    await here.close()


@pytest.mark.parametrize(
    "damage",
    [
        pytest.param(lambda files: files.key.unlink(), id="key-missing"),
        pytest.param(
            lambda files: files.certificate.write_bytes(files.authority.read_bytes()),
            id="key-of-another-certificate",
        ),
        pytest.param(lambda files: files.certificate.write_bytes(b""), id="empty"),
        pytest.param(lambda files: files.authority.write_bytes(b"x"), id="not-pem"),
        pytest.param(lambda files: files.authority.unlink(), id="authority-missing"),
    ],
)
async def test_unusable_files_leave_the_old_ones_in_use(
    tmp_path: Path, damage: Callable[[TlsFiles], None]
) -> None:
    files = OURS.write(tmp_path)
    before = serial_of(files)
    identity = TlsIdentity(files)
    await identity.start()
    async with echo_server(identity) as port:
        damage(files)
        assert identity.check() is TlsCheck.UNUSABLE
        assert identity.check() is TlsCheck.UNUSABLE
        assert await peer_serial(port, identity.client_context()) == before
        after = serial_of(OURS.write(tmp_path))
        assert identity.check() is TlsCheck.RELOADED
        assert await peer_serial(port, identity.client_context()) == after
    assert (identity.n_reloads, identity.n_unusable) == (1, 2)
    with pytest.raises(ValueError, match=r"\.pem"):
        damage(files)
        await TlsIdentity(files).start()
    await identity.close()


def test_files_are_checked_each_interval(tmp_path: Path) -> None:
    async def main() -> None:
        identity = TlsIdentity(OURS.write(tmp_path), TlsOptions(check_interval_s=30.0))
        await identity.start()
        OURS.write(tmp_path)
        await asyncio.sleep(29.0)
        assert identity.n_reloads == 0
        await asyncio.sleep(2.0)
        assert identity.n_reloads == 1
        await asyncio.sleep(60.0)
        assert identity.n_reloads == 1
        await identity.close()

    run_in_virtual_time(main())


async def test_store_adapter_over_tls(tmp_path: Path) -> None:
    here = TlsIdentity(OURS.write(tmp_path / "server"))
    there = TlsIdentity(OURS.write(tmp_path / "client"))
    await here.start()
    await there.start()
    core = StoreCore(asyncio.get_running_loop().time)
    app = StoreApp(core, random.Random(1)).app
    server = HttpServer(app, here.server_context(), shutdown_timeout_s=0.02)
    await server.start()
    store = EtcdJsonStore((server.address,), tls=there.client_context)
    stranger = EtcdJsonStore((server.address,))
    await store.start()
    await stranger.start()
    swapped = await store.compare_and_swap("k", ABSENT_REVISION, b"1")
    assert isinstance(swapped, Swapped)
    refused = await stranger.compare_and_swap("k", swapped.revision, b"2")
    assert isinstance(refused, Unavailable)
    for folder, identity in (("server", here), ("client", there)):
        THEIRS.write(tmp_path / folder)
        assert identity.check() is TlsCheck.RELOADED
    found = await store.get("k")
    assert isinstance(found, Found)
    assert found.item is not None
    assert found.item.value == b"1"
    for part in (stranger, store, server, there, here):
        await part.close()
