"""An HTTP server that serves one aiohttp application on one address."""

import ssl

from aiohttp import web

__all__ = ["WebServer"]


class WebServer:
    """Serves an application; `start` before `close`."""

    def __init__(self, app: web.Application) -> None:
        self._runner = web.AppRunner(
            app, handle_signals=False, access_log=None, handler_cancellation=True
        )

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None) -> int:
        """Listen and return the port."""
        await self._runner.setup()
        site = web.TCPSite(self._runner, host, port, ssl_context=tls)
        await site.start()
        address: tuple[str, int] = self._runner.addresses[0]
        return address[1]

    async def close(self) -> None:
        """Stop listening and close the connections."""
        await self._runner.cleanup()
