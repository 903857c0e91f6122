"""Models of the sections of a settings file.

Each field's description states what is allowed; `settings` prints it with a fault.
Values are validated without type conversion, except that an integer is accepted where
a float is expected.
"""

import ipaddress
from typing import Annotated, Final, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

__all__ = [
    "AdminSection",
    "AgentSection",
    "AgentSettings",
    "EntrySection",
    "EntrySettings",
    "LeasesSection",
    "LogSection",
    "ProcessSection",
    "RunnerSection",
    "Section",
    "ShardsSection",
    "StoreSection",
    "StreamsSection",
    "TlsSection",
    "split_address",
]

NAME_PATTERN: Final = r"^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$"
SHA256_PATTERN: Final = r"^[0-9a-f]{64}$"
MAX_PORT: Final = 65_535

NAME_RULE: Final = (
    "1 to 64 of a-z, 0-9, '.', '_', '-', beginning with a letter or digit"
)
PORT_RULE: Final = "a port from 0 to 65535; 0 takes any free port"
ADDRESS_RULE: Final = "ip:port with an IP number, as 127.0.0.1:7001 or [::1]:7001"
URL_RULE: Final = "http://ip:port or https://ip:port with an IP number"
IP_RULE: Final = "an IP number, as 127.0.0.1 or ::1"


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of ``ip:port``.

    Raises
    ------
    ValueError
        If the host is not an IP address or the port is not between 1 and 65535.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not port.isascii() or not port.isdigit():
        raise ValueError("no port")
    if host.startswith("[") and host.endswith("]"):
        host = str(ipaddress.IPv6Address(host[1:-1]))
    else:
        host = str(ipaddress.IPv4Address(host))
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError("port out of range")
    return host, int(port)


def _check_ip(value: str) -> str:
    return str(ipaddress.ip_address(value))


def _check_address(value: str) -> str:
    split_address(value)
    return value


def _check_url(value: str) -> str:
    scheme, separator, address = value.partition("://")
    if not separator or scheme not in ("http", "https"):
        raise ValueError("no scheme")
    split_address(address.removesuffix("/"))
    return value.removesuffix("/")


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
Port = Annotated[int, Field(ge=0, le=MAX_PORT)]
Ip = Annotated[str, AfterValidator(_check_ip)]
Address = Annotated[str, AfterValidator(_check_address)]
Url = Annotated[str, AfterValidator(_check_url)]


class Section(BaseModel):
    """Base of all sections; rejects unknown keys and type conversions."""

    model_config = ConfigDict(
        extra="forbid", frozen=True, strict=True, allow_inf_nan=False
    )


class ProcessSection(Section):
    """The role, identity and location of the process."""

    role: Literal["entry", "agent"] = Field(description="'entry' or 'agent'")
    id_prefix: Name = Field(description=NAME_RULE)
    region: Name = Field(description=NAME_RULE)
    place: Name = Field(description=NAME_RULE)
    host: Ip = Field(default="127.0.0.1", description=IP_RULE)


class StoreSection(Section):
    """Access to the platform's key-value store."""

    addresses: tuple[Url, ...] = Field(
        min_length=1, strict=False, description=f"a list of at least one {URL_RULE}"
    )
    adapter: Name = Field(
        default="etcd_json", description="the name of a store adapter"
    )
    call_timeout_s: float = Field(
        default=1.0, gt=0, le=60, description="seconds, above 0 and at most 60"
    )
    max_calls_per_s: float = Field(
        default=200.0, gt=0, description="calls per second, above 0"
    )


class EntrySection(Section):
    """The ports that an entry listens on."""

    http_port: Port = Field(description=PORT_RULE)
    agent_port: Port = Field(description=PORT_RULE)
    admin_port: Port = Field(description=PORT_RULE)


class AdminSection(Section):
    """Access to the administration API of an entry.

    The bootstrap token grants operator rights until the first configuration that
    declares an operator.
    """

    bootstrap_token_sha256: str = Field(
        default="",
        pattern=r"^([0-9a-f]{64})?$",
        description="the lower-case hexadecimal SHA-256 digest of a token, or ''",
    )
    max_body_bytes: int = Field(
        default=1_000_000, ge=1024, description="bytes, at least 1024"
    )
    max_requests_per_s: float = Field(
        default=50.0, gt=0, description="requests per second of each team, above 0"
    )


class RunnerSection(Section):
    """A runner that the agent admits calls to."""

    name: Name = Field(description=f"the service's name: {NAME_RULE}")
    runner_address: Url = Field(description=URL_RULE)
    n_slots: int = Field(default=8, ge=1, le=1024, description="a count from 1 to 1024")
    n_connections: int = Field(
        default=64, ge=1, le=4096, description="a count from 1 to 4096"
    )


class AgentSection(Section):
    """The worker and runners of an agent, and entries to dial without the store."""

    entries: tuple[Address, ...] = Field(
        default=(), strict=False, description=f"a list of {ADDRESS_RULE}"
    )
    worker_adapter: Name = Field(
        default="http_json", description="the name of a worker adapter"
    )
    worker_address: Url | None = Field(default=None, description=URL_RULE)
    health_port: Port = Field(default=0, description=PORT_RULE)
    services: tuple[RunnerSection, ...] = Field(
        default=(), strict=False, description="a list of tables [[agent.services]]"
    )


class ShardsSection(Section):
    """The shards of the region; must be equal in all of its processes."""

    n_shards: int = Field(
        default=64, ge=1, le=4096, description="a count from 1 to 4096"
    )


class LeasesSection(Section):
    """How long an attempt may run unless the owner of its shard renews it."""

    horizon_s: float = Field(
        default=30.0, gt=0, le=3600, description="seconds, above 0 and at most 3600"
    )
    margin_s: float = Field(
        default=3.0,
        gt=0,
        le=600,
        description="seconds, above 0 and below leases.horizon_s",
    )


class StreamsSection(Section):
    """Heartbeats and failure detection on channels between processes."""

    heartbeat_s: float = Field(
        default=1.0,
        gt=0,
        le=60,
        description="seconds, above 0 and below streams.silence_s",
    )
    silence_s: float = Field(
        default=3.0, gt=0, le=300, description="seconds, above streams.heartbeat_s"
    )


class TlsSection(Section):
    """TLS certificates; without them only loopback addresses are bound by default."""

    ca: str = Field(default="", description="the path of a readable PEM file")
    cert: str = Field(default="", description="the path of a readable PEM file")
    key: str = Field(default="", description="the path of a readable PEM file")
    allow_plain_nonloopback: bool = Field(default=False, description="true or false")

    @property
    def enabled(self) -> bool:
        """Whether channels use TLS."""
        return bool(self.ca and self.cert and self.key)


class LogSection(Section):
    """The lowest severity that is logged."""

    level: Literal["debug", "info", "warning", "error"] = Field(
        default="info", description="'debug', 'info', 'warning' or 'error'"
    )


class _Settings(Section):
    process: ProcessSection = Field(description="a table [process]")
    store: StoreSection = Field(description="a table [store]")
    shards: ShardsSection = Field(
        default=ShardsSection(), description="a table [shards]"
    )
    leases: LeasesSection = Field(
        default=LeasesSection(), description="a table [leases]"
    )
    streams: StreamsSection = Field(
        default=StreamsSection(), description="a table [streams]"
    )
    tls: TlsSection = Field(default=TlsSection(), description="a table [tls]")
    log: LogSection = Field(default=LogSection(), description="a table [log]")


class EntrySettings(_Settings):
    """The settings of an entry."""

    entry: EntrySection = Field(description="a table [entry]")
    admin: AdminSection = Field(default=AdminSection(), description="a table [admin]")


class AgentSettings(_Settings):
    """The settings of an agent."""

    agent: AgentSection = Field(description="a table [agent]")
