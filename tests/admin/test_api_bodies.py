"""Responses of the job routes to valid and invalid requests."""

import asyncio

import pytest
from admin_api import running_api

from almondspan_admin.job_routes import _unscope_statuses
from almondspan_tasks.job_client import JobState, JobStatus

STAGE = {
    "task_class": "validate",
    "cpu_millicores": 1000,
    "memory_mb": 500,
    "declared_run_s": 2.0,
    "payload": "AP8=",
}


def job(job_id="job-1", team="archive", **fields):
    return {"job_id": job_id, "team": team, "stages": [STAGE]} | fields


def record(name="tape-1", **fields):
    names = {"order_name": "return-2026", "record_name": name}
    return job(f"return-2026/{name}", **names) | fields


def test_submit_then_status():
    async def run():
        async with running_api() as api:
            first = await api.call(
                "POST", "/v1/jobs", "archive-token", {"jobs": [job(), job("job-2")]}
            )
            again = await api.call(
                "POST", "/v1/jobs", "archive-token", {"jobs": [job()]}
            )
            asked = {"job_ids": ["job-1", "job-9"]}
            found = await api.call("POST", "/v1/jobs/status", "archive-token", asked)
            return first, again, found, api.job_client.jobs

    first, again, found, held = asyncio.run(run())
    assert [one["state"] for one in first[1]["results"]] == ["accepted"] * 2
    assert again[1]["results"] == [
        {"job_id": "job-1", "state": "already_known", "reason": ""}
    ]
    states = [(one["job_id"], one["state"]) for one in found[1]["jobs"]]
    assert states == [("job-1", "ended"), ("job-9", "absent")]
    assert held["archive/job-1"].stages[0].payload == b"\x00\xff"
    assert found[1]["jobs"][0]["outcome"]["result"] == "AP8="


@pytest.mark.parametrize(
    ("body", "status", "reason"),
    [
        pytest.param(b"{", 400, "truncated", id="no JSON"),
        pytest.param(
            b'{"jobs": ' + b"[" * 5_000 + b"]" * 5_000 + b"}",
            400,
            "",
            id="nested too deeply",
        ),
        pytest.param({"jobs": []}, 400, "length >= 1", id="no job"),
        pytest.param({"job": [job()]}, 400, "unknown field", id="unknown field"),
        pytest.param(
            {"jobs": [job(idempotant=False)]}, 400, "idempotant", id="mistyped field"
        ),
        pytest.param(
            {"jobs": [job(stages=[])]}, 400, "length >= 1", id="job without stages"
        ),
        pytest.param(
            {"jobs": [job(stages=[STAGE | {"declared_run_s": -1}])]},
            400,
            "declared_run_s",
            id="negative time",
        ),
        pytest.param(
            {"jobs": [job(stages=[STAGE | {"payload": "A" * 90_000}])]},
            400,
            "payload",
            id="payload too large",
        ),
        pytest.param({"jobs": [job(), job()]}, 400, "twice", id="id twice"),
        pytest.param(
            {"jobs": [record(job_id="another/tape-1")]},
            422,
            "return-2026/tape-1",
            id="record under another id",
        ),
        pytest.param(
            {"jobs": [record(order_name="return-2027")]},
            422,
            "no order return-2027",
            id="unknown order",
        ),
        pytest.param(
            {"jobs": [record(), record("tape-2", record_name="")]},
            422,
            "return-2026/",
            id="record without name",
        ),
    ],
)
def test_invalid_jobs_are_rejected(body, status, reason):
    async def run():
        async with running_api() as api:
            kind = {"data": body} if isinstance(body, bytes) else {"json": body}
            answer = await api.call("POST", "/v1/jobs", "archive-token", **kind)
            return answer, api.job_client.jobs

    (found, answer), held = asyncio.run(run())
    assert found == status
    assert reason in answer["reason"]
    assert held == {}


def test_missing_owner_reports_whether_jobs_may_be_submitted():
    async def run():
        async with running_api() as api:
            api.job_client.unavailable = True
            submit = await api.call(
                "POST", "/v1/jobs", "archive-token", {"jobs": [job()]}
            )
            asked = {"job_ids": ["job-1"]}
            status = await api.call("POST", "/v1/jobs/status", "archive-token", asked)
            return submit, status

    submit, status = asyncio.run(run())
    assert (submit[0], submit[1]["may_have_applied"]) == (503, True)
    assert (status[0], "may_have_applied" in status[1]) == (503, False)


def test_large_order_yields_to_other_tasks():
    """Other tasks of the entry run while an order with many records is converted."""
    jobs = tuple(JobStatus(f"archive/t{n}", JobState.ENDED) for n in range(2000))

    async def run():
        n_yields = 0
        converting = asyncio.create_task(_unscope_statuses("archive", jobs))
        while not converting.done():
            n_yields += 1
            await asyncio.sleep(0)
        return n_yields, await converting

    n_yields, converted = asyncio.run(run())
    assert [one.job_id for one in converted] == [f"t{n}" for n in range(2000)]
    assert n_yields >= 2000 / 250
