"""TLS with mutual authentication, from files that may change while a process runs.

1. `start` loads the files and raises if they can't be used.
2. Every check interval the files' identities (inode, size, time of change) are
   compared. When they differ, new contexts are made of the new files.
3. Files that can't be used, as when the certificate was replaced and its key not
   yet, leave the old contexts in force; the next check tries again.

A listening socket holds one server context for good. That context hands each new
connection to the latest one before any certificate is sent, so a replaced
certificate and a replaced authority hold for new connections. Open connections go
on as they are. Sessions are never resumed: a resumed one would not be verified anew.
"""

import asyncio
import logging
import ssl
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Final

__all__ = ["TlsCheck", "TlsFiles", "TlsIdentity", "TlsOptions"]

_LOG: Final = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Where the parts of an identity lie, each in PEM form."""

    certificate: Path
    """The process's certificate, followed by those between it and the authority."""

    key: Path
    authority: Path
    """The certificates that may sign those of peers."""


@dataclass(frozen=True, slots=True)
class TlsOptions:
    """How connections are secured.

    Attributes
    ----------
    check_interval_s : float
        Time between checks of the files, in seconds.
    requires_client_certificate : bool
        Whether a server refuses clients without a certificate of the authority.
    verifies_address : bool
        Whether a client refuses a server whose certificate doesn't name its address.
    """

    check_interval_s: float = 10.0
    requires_client_certificate: bool = True
    verifies_address: bool = True


class TlsCheck(Enum):
    """What a check of the files found."""

    UNCHANGED = "unchanged"
    RELOADED = "reloaded"
    UNUSABLE = "unusable"
    """The files changed and can't be used; the old contexts are in force."""


@dataclass(frozen=True, slots=True)
class _Contexts:
    server: ssl.SSLContext
    client: ssl.SSLContext


_Identity = tuple[tuple[int, int, int], ...]


class TlsIdentity:
    """The contexts of one process, kept up to date with its files."""

    def __init__(self, files: TlsFiles, options: TlsOptions = TlsOptions()) -> None:
        self._files: Final = files
        self._options: Final = options
        self._latest: _Contexts | None = None
        self._listening: ssl.SSLContext | None = None
        self._loaded: _Identity = ()
        self._is_unusable = False
        self._task: asyncio.Task[None] | None = None
        self.n_reloads = 0
        self.n_unusable = 0

    async def start(self) -> None:
        """Load the files and begin to check them.

        Raises
        ------
        ValueError
            When a file can't be used; the message names it.
        """
        self._loaded = _identify(self._files)
        self._latest = self._load()
        self._listening = self._make_listening()
        self._task = asyncio.create_task(self._check_regularly())

    async def close(self) -> None:
        """Stop checking; the contexts stay as they are."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def server_context(self) -> ssl.SSLContext:
        """Return the context for listening sockets; it is always the same."""
        if self._listening is None:
            raise RuntimeError("the identity was not started")
        return self._listening

    def client_context(self) -> ssl.SSLContext:
        """Return the context for the next connection to a server."""
        return self._contexts().client

    def check(self) -> TlsCheck:
        """Compare the files with those in force, and load them if they differ."""
        try:
            found = _identify(self._files)
            if found == self._loaded:
                return TlsCheck.UNCHANGED
            self._latest = self._load()
        except ValueError as error:
            self._on_unusable(error)
            return TlsCheck.UNUSABLE
        self._loaded = found
        self._is_unusable = False
        self.n_reloads += 1
        _LOG.info("loaded the certificates of %s", self._files.certificate)
        return TlsCheck.RELOADED

    async def _check_regularly(self) -> None:
        while True:
            await asyncio.sleep(self._options.check_interval_s)
            self.check()

    def _on_unusable(self, error: ValueError) -> None:
        self.n_unusable += 1
        if not self._is_unusable:
            _LOG.error("kept the old certificates: %s", error)
        self._is_unusable = True

    def _contexts(self) -> _Contexts:
        if self._latest is None:
            raise RuntimeError("the identity was not started")
        return self._latest

    def _load(self) -> _Contexts:
        return _Contexts(self._make_server(), self._make_client())

    def _make_listening(self) -> ssl.SSLContext:
        """Make a context that hands each connection to the latest one."""

        def use_latest(
            connection: ssl.SSLSocket | ssl.SSLObject,
            server_name: str | None,
            context: ssl.SSLContext,
        ) -> None:
            connection.context = self._contexts().server

        context = self._make_server()
        context.sni_callback = use_latest
        return context

    def _make_server(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.options |= ssl.OP_NO_TICKET
        context.num_tickets = 0
        if self._options.requires_client_certificate:
            context.verify_mode = ssl.CERT_REQUIRED
        return self._fill(context)

    def _make_client(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = self._options.verifies_address
        return self._fill(context)

    def _fill(self, context: ssl.SSLContext) -> ssl.SSLContext:
        files = self._files
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        try:
            context.load_cert_chain(files.certificate, files.key, _refuse_password)
        except (OSError, ValueError) as error:
            reason = f"{files.certificate} with {files.key}: {error}"
            raise ValueError(reason) from error
        try:
            context.load_verify_locations(files.authority)
        except OSError as error:
            raise ValueError(f"{files.authority}: {error}") from error
        return context


def _refuse_password() -> str:
    raise ValueError("the key is encrypted")


def _identify(files: TlsFiles) -> _Identity:
    """Return what changes when a file is replaced or written."""
    identity = []
    for path in (files.certificate, files.key, files.authority):
        try:
            found = path.stat()
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from error
        identity.append((found.st_ino, found.st_size, found.st_mtime_ns))
    return tuple(identity)
