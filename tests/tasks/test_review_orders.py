"""An order's records stay in its ledger, and none is delivered a second time."""

import asyncio

import pytest
from test_owner import OPTIONS, SHARD, TEAM, Rig, job
from virtual_loop import VirtualLoop

from almondspan_decisions.ids import OrderName
from almondspan_tasks.desk import SubmitState
from almondspan_wire.task_messages import CancelJobs, OrderAnswer, OrderQuery

ORDER = OrderName("o")


async def submit_again_later(rig: Rig, order_name: OrderName) -> list[SubmitState]:
    await rig.own(rig.host)
    spec = job("a", order_name=order_name, record_name="r" if order_name else "")
    assert await rig.submit(spec) == [SubmitState.ACCEPTED]
    rig.host.on_mail("desk", CancelJobs(SHARD, "q", TEAM, (spec.job_id,)))
    await asyncio.sleep(2 * OPTIONS.answer_kept_s)
    return await rig.submit(spec)


@pytest.mark.parametrize(
    ("order_name", "state"),
    [
        pytest.param(OrderName(""), SubmitState.ACCEPTED, id="dropped"),
        pytest.param(ORDER, SubmitState.ALREADY_KNOWN, id="of-an-order"),
    ],
)
def test_a_job_is_known_for_its_time(order_name: OrderName, state: SubmitState) -> None:
    async def main() -> None:
        rig = Rig()
        assert await submit_again_later(rig, order_name) == [state]
        rig.host.on_mail("desk", OrderQuery(SHARD, "q", TEAM, ORDER))
        await asyncio.sleep(1.0)
        page = rig.last(OrderAnswer)
        assert isinstance(page, OrderAnswer)
        assert len(page.jobs) == bool(order_name)
        await rig.host.close()

    loop = VirtualLoop()
    loop.run_until_complete(main())
    loop.close()
