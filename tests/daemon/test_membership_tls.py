"""Membership over TLS: rejected peers, and a certificate replaced without a restart."""

import asyncio
import datetime
import ssl
from pathlib import Path

import pytest
from loopback_members import Agent, Entry, wait_until

from almondspan_decisions.ids import AgentId
from almondspan_platform.tls import TlsCheck, TlsIdentity
from almondspan_standins.certificates import Authority

AGENT = AgentId("a1")


def authority(name: str = "ours") -> Authority:
    return Authority(name, datetime.datetime.now(datetime.UTC))


async def started(identity: TlsIdentity) -> TlsIdentity:
    await identity.start()
    return identity


def context_without_certificate(folder: Path) -> ssl.SSLContext:
    """Return the context of a client without a certificate."""
    return ssl.create_default_context(cafile=str(folder / "ca.pem"))


@pytest.mark.parametrize("peer", ["without certificate", "other authority"])
def test_untrusted_agent_is_rejected(peer: str, tmp_path: Path) -> None:
    async def main() -> None:
        ours = authority()
        server = await started(TlsIdentity(ours.write(tmp_path / "entry")))
        files = authority("theirs").write(tmp_path / "agent", trusted=ours)
        client = await started(TlsIdentity(files))
        anonymous = context_without_certificate(tmp_path / "entry")
        is_anonymous = peer == "without certificate"
        agent = Agent(
            tls=lambda: anonymous if is_anonymous else client.client_context()
        )
        entry = Entry("e1")
        await agent.links.start([await entry.start(tls=server.server_context())])
        await wait_until(lambda: agent.links.n_dials >= 4)
        assert entry.events == []
        assert agent.events == []
        await agent.links.close()
        await entry.directory.close()
        await client.close()
        await server.close()

    asyncio.run(main())


def test_replaced_certificate_is_used_for_the_next_channel(tmp_path: Path) -> None:
    async def main() -> None:
        ours = authority()
        server = await started(TlsIdentity(ours.write(tmp_path / "entry")))
        client = await started(TlsIdentity(ours.write(tmp_path / "agent")))
        agent, entry = Agent(tls=client.client_context), Entry("e1")
        await agent.links.start([await entry.start(tls=server.server_context())])
        await wait_until(lambda: len(entry.statuses) > 0)
        serials = {serial_of(entry)}
        ours.write(tmp_path / "agent")
        assert client.check() is not TlsCheck.UNCHANGED
        assert entry.events == ["joined"]
        await entry.directory.agents[AGENT].channel.close()
        await wait_until(lambda: entry.events == ["joined", "left", "joined"])
        serials.add(serial_of(entry))
        assert len(serials) == 2
        await agent.links.close()
        await entry.directory.close()
        await client.close()
        await server.close()

    asyncio.run(main())


def serial_of(entry: Entry) -> str:
    """Return the serial number of the certificate that the agent presented."""
    writer = entry.directory.agents[AGENT].channel._writer
    certificate = writer.get_extra_info("peercert")
    return str(certificate["serialNumber"])
