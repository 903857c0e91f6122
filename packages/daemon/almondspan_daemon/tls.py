"""The TLS identities of a process, as its settings name them.

Streams between processes use mutual authentication. The HTTP servers present the same
certificate but do not request one from callers and operators; operators authenticate
with their token.
"""

import ssl
from dataclasses import dataclass
from pathlib import Path

from almondspan_daemon.settings import TlsSection
from almondspan_platform.registry import TlsSource
from almondspan_platform.tls import TlsFiles, TlsIdentity, TlsOptions

__all__ = ["ProcessTls"]


@dataclass(frozen=True, slots=True)
class ProcessTls:
    """The identities of one process; both are None if it uses plain TCP."""

    streams: TlsIdentity | None
    http: TlsIdentity | None

    @staticmethod
    def of(section: TlsSection) -> "ProcessTls":
        """Return the identities that the settings name; they are not started."""
        if not section.enabled:
            return ProcessTls(None, None)
        files = TlsFiles(Path(section.cert), Path(section.key), Path(section.ca))
        http_options = TlsOptions(requires_client_certificate=False)
        return ProcessTls(TlsIdentity(files), TlsIdentity(files, http_options))

    async def start(self) -> None:
        """Load the files and watch them for changes."""
        for identity in (self.streams, self.http):
            if identity is not None:
                await identity.start()

    async def close(self) -> None:
        """Stop watching the files."""
        for identity in (self.streams, self.http):
            if identity is not None:
                await identity.close()

    def stream_server(self) -> ssl.SSLContext | None:
        """Return the context for accepting agents."""
        return None if self.streams is None else self.streams.server_context()

    def stream_client(self) -> ssl.SSLContext | None:
        """Return the context for dialling an entry."""
        return None if self.streams is None else self.streams.client_context()

    def http_server(self) -> ssl.SSLContext | None:
        """Return the context for the HTTP servers."""
        return None if self.http is None else self.http.server_context()

    @property
    def client_source(self) -> TlsSource | None:
        """The source of contexts for calls to the platform's services."""
        return None if self.streams is None else self.streams.client_context
