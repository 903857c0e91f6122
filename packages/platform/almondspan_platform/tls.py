"""Mutual TLS with certificates that are reloaded when their files change.

1. `start` loads the files and raises an error if they can't be used.
2. At every check interval the inode, size and modification time of each file are
   compared. If any has changed, new contexts are made from the new files.
3. If the new files can't be used, for example because a certificate was replaced before
   its key, the old contexts remain in use until a later check succeeds.

A listening socket keeps one server context. Its SNI callback passes each new connection
to the current context before any certificate is sent, so replaced certificates and
authorities apply to new connections. Open connections are not affected. Sessions are
never resumed, because a resumed session would not be verified again.
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
    """Paths of the files of an identity, all in PEM format."""

    certificate: Path
    """The process's certificate, followed by the intermediate certificates."""

    key: Path
    authority: Path
    """The certificates of the authorities that are trusted to sign those of peers."""


@dataclass(frozen=True, slots=True)
class TlsOptions:
    """Settings for secured connections.

    Attributes
    ----------
    check_interval_s : float
        Time between checks of the files, in seconds.
    requires_client_certificate : bool
        Whether a server rejects clients without a certificate from the authority.
    verifies_address : bool
        Whether a client rejects a server whose certificate doesn't name its address.
    """

    check_interval_s: float = 10.0
    requires_client_certificate: bool = True
    verifies_address: bool = True


class TlsCheck(Enum):
    """The result of a check of the files."""

    UNCHANGED = "unchanged"
    RELOADED = "reloaded"
    UNUSABLE = "unusable"
    """The files changed and can't be used; the old contexts remain in use."""


@dataclass(frozen=True, slots=True)
class _Contexts:
    server: ssl.SSLContext
    client: ssl.SSLContext


_FileVersions = tuple[tuple[int, int, int], ...]


class TlsIdentity:
    """The TLS contexts of one process, kept up to date with its files."""

    def __init__(self, files: TlsFiles, options: TlsOptions = TlsOptions()) -> None:
        self._files: Final = files
        self._options: Final = options
        self._current: _Contexts | None = None
        self._listener_context: ssl.SSLContext | None = None
        self._loaded_versions: _FileVersions = ()
        self._is_unusable = False
        self._task: asyncio.Task[None] | None = None
        self.n_reloads = 0
        self.n_unusable = 0

    async def start(self) -> None:
        """Load the files and start checking them.

        Raises
        ------
        ValueError
            When a file can't be used; the message names it.
        """
        self._loaded_versions = _file_versions(self._files)
        self._current = self._load()
        self._listener_context = self._make_listener_context()
        self._task = asyncio.create_task(self._check_regularly())

    async def close(self) -> None:
        """Stop checking; the contexts remain usable."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def server_context(self) -> ssl.SSLContext:
        """Return the context for listening sockets, which is always the same."""
        if self._listener_context is None:
            raise RuntimeError("TlsIdentity.start was not called")
        return self._listener_context

    def client_context(self) -> ssl.SSLContext:
        """Return the context for the next connection to a server."""
        return self._contexts().client

    def check(self) -> TlsCheck:
        """Compare the files with the loaded ones, and load them if they differ."""
        try:
            found = _file_versions(self._files)
            if found == self._loaded_versions:
                return TlsCheck.UNCHANGED
            self._current = self._load()
        except ValueError as error:
            self._on_unusable(error)
            return TlsCheck.UNUSABLE
        self._loaded_versions = found
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
        if self._current is None:
            raise RuntimeError("TlsIdentity.start was not called")
        return self._current

    def _load(self) -> _Contexts:
        return _Contexts(self._make_server_context(), self._make_client_context())

    def _make_listener_context(self) -> ssl.SSLContext:
        """Make a context that passes each connection to the current one."""

        def use_current(
            connection: ssl.SSLSocket | ssl.SSLObject,
            server_name: str | None,
            context: ssl.SSLContext,
        ) -> None:
            connection.context = self._contexts().server

        context = self._make_server_context()
        context.sni_callback = use_current
        return context

    def _make_server_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.options |= ssl.OP_NO_TICKET
        context.num_tickets = 0
        if self._options.requires_client_certificate:
            context.verify_mode = ssl.CERT_REQUIRED
        return self._load_files(context)

    def _make_client_context(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        context.check_hostname = self._options.verifies_address
        return self._load_files(context)

    def _load_files(self, context: ssl.SSLContext) -> ssl.SSLContext:
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
    raise ValueError("the private key is encrypted")


def _file_versions(files: TlsFiles) -> _FileVersions:
    """Return the inode, size and modification time of each file."""
    versions = []
    for path in (files.certificate, files.key, files.authority):
        try:
            found = path.stat()
        except OSError as error:
            raise ValueError(f"{path}: {error.strerror}") from error
        versions.append((found.st_ino, found.st_size, found.st_mtime_ns))
    return tuple(versions)
