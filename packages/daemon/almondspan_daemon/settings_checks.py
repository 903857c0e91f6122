"""Checks of settings that involve several keys.

A check names the keys that it reads and runs only if each of them is valid by itself,
so that a single run reports every fault. It yields each key to change, with what is
allowed.
"""

import ipaddress
import os
import ssl
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any, Final

__all__ = ["CROSS_CHECKS", "CrossCheck", "cross_check"]

Values = Mapping[str, Any]
"""Values by dotted key, including defaults."""

CheckFunction = Callable[[Values], Iterator[tuple[str, str]]]


@dataclass(frozen=True, slots=True)
class CrossCheck:
    """A check and the dotted keys that it reads."""

    keys: tuple[str, ...]
    find: CheckFunction


CROSS_CHECKS: Final[list[CrossCheck]] = []


def cross_check(*keys: str) -> Callable[[CheckFunction], CheckFunction]:
    """Register the decorated function as a check that reads `keys`."""

    def register(function: CheckFunction) -> CheckFunction:
        CROSS_CHECKS.append(CrossCheck(keys, function))
        return function

    return register


@cross_check("leases.margin_s", "leases.horizon_s")
def _margin_below_horizon(values: Values) -> Iterator[tuple[str, str]]:
    horizon_s = values["leases.horizon_s"]
    if values["leases.margin_s"] >= horizon_s:
        yield "leases.margin_s", f"seconds below leases.horizon_s ({horizon_s:g})"


@cross_check("streams.heartbeat_s", "streams.silence_s")
def _heartbeat_below_silence(values: Values) -> Iterator[tuple[str, str]]:
    silence_s = values["streams.silence_s"]
    if values["streams.heartbeat_s"] >= silence_s:
        yield "streams.heartbeat_s", f"seconds below streams.silence_s ({silence_s:g})"


@cross_check("tls.ca", "tls.cert", "tls.key")
def _certificates_complete(values: Values) -> Iterator[tuple[str, str]]:
    keys = ("tls.ca", "tls.cert", "tls.key")
    if not any(values[key] for key in keys):
        return
    is_readable = True
    for key in keys:
        if not values[key]:
            yield key, "a path, since tls.ca, tls.cert and tls.key go together"
            is_readable = False
        elif not os.path.isfile(values[key]) or not os.access(values[key], os.R_OK):
            yield key, "the path of a readable PEM file"
            is_readable = False
    if is_readable:
        yield from _unusable_certificates(values)


def _unusable_certificates(values: Values) -> Iterator[tuple[str, str]]:
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    try:
        context.load_verify_locations(values["tls.ca"])
    except ssl.SSLError:
        yield "tls.ca", "a PEM file with the certificate of an authority"
    try:
        # Without a password argument, an encrypted key would prompt on the terminal.
        context.load_cert_chain(values["tls.cert"], values["tls.key"], password="")
    except (ssl.SSLError, ValueError):
        yield "tls.cert", "a PEM file with the certificate of the key in tls.key"


@cross_check(
    "process.host", "tls.ca", "tls.cert", "tls.key", "tls.allow_plain_nonloopback"
)
def _plain_only_on_loopback(values: Values) -> Iterator[tuple[str, str]]:
    has_tls = any(values[f"tls.{key}"] for key in ("ca", "cert", "key"))
    if has_tls or values["tls.allow_plain_nonloopback"]:
        return
    if not ipaddress.ip_address(values["process.host"]).is_loopback:
        yield (
            "process.host",
            "a loopback address, unless tls.ca, tls.cert and tls.key are set "
            "or tls.allow_plain_nonloopback is true",
        )


@cross_check("agent.worker_address", "agent.services")
def _agent_has_work(values: Values) -> Iterator[tuple[str, str]]:
    if values["agent.worker_address"] is None and not values["agent.services"]:
        yield "agent.worker_address", "an address, or at least one [[agent.services]]"


@cross_check("agent.services")
def _services_are_distinct(values: Values) -> Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for index, service in enumerate(values["agent.services"]):
        name = service.get("name")
        if name in seen:
            yield f"agent.services.{index}.name", "a name that no other entry has"
        seen.add(name)


@cross_check("entry.http_port", "entry.agent_port", "entry.admin_port")
def _ports_are_distinct(values: Values) -> Iterator[tuple[str, str]]:
    seen: set[int] = set()
    for key in ("entry.http_port", "entry.agent_port", "entry.admin_port"):
        port = values[key]
        if port != 0 and port in seen:
            yield key, "a port that no other key of [entry] has"
        seen.add(port)
