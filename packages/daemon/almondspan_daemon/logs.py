"""Structured logging: JSON lines on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs"]


def configure_logs(level: str, process_id: str, role: str) -> None:
    """Write each log record as a JSON object with the process id and the role."""
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
        static_fields={"process": process_id, "role": role},
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    logging.getLogger("transitions").setLevel(logging.WARNING)
