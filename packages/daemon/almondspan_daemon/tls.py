"""The TLS identities of a process, from its settings.

Streams between processes use mutual authentication. The HTTP sides present the
same certificate but do not ask callers and operators for one: operators prove
themselves by their token.
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
    """The identities of one process; both None when it speaks plain TCP."""

    streams: TlsIdentity | None
    http: TlsIdentity | None

    @staticmethod
    def of(section: TlsSection) -> "ProcessTls":
        """Return the identities that the settings name, not started."""
        if not section.enabled:
            return ProcessTls(None, None)
        files = TlsFiles(Path(section.cert), Path(section.key), Path(section.ca))
        open_options = TlsOptions(requires_client_certificate=False)
        return ProcessTls(TlsIdentity(files), TlsIdentity(files, open_options))

    async def start(self) -> None:
        """Load the files and begin to follow their changes."""
        for identity in (self.streams, self.http):
            if identity is not None:
                await identity.start()

    async def close(self) -> None:
        """Stop following the files."""
        for identity in (self.streams, self.http):
            if identity is not None:
                await identity.close()

    def stream_server(self) -> ssl.SSLContext | None:
        """Return the context on which agents are accepted."""
        return None if self.streams is None else self.streams.server_context()

    def stream_client(self) -> ssl.SSLContext | None:
        """Return the context for the next dial of an entry."""
        return None if self.streams is None else self.streams.client_context()

    def http_server(self) -> ssl.SSLContext | None:
        """Return the context of the HTTP servers."""
        return None if self.http is None else self.http.server_context()

    @property
    def client_source(self) -> TlsSource | None:
        """The contexts with which the platform's services are reached."""
        return None if self.streams is None else self.streams.client_context
