"""The order of waiting jobs: by class, room and slack, without starvation."""

import math
import random
from collections.abc import Sequence
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st
from order_replay import BURSTS, SHORT, WIDE, Load, make_jobs, replay, share_in_time

from almondspan_decisions.ids import JobId
from almondspan_decisions.job_demand import JobDemand, Room
from almondspan_decisions.job_order import (
    HOPELESS_SHARE,
    HOPELESS_WAIT_FACTOR,
    MAX_CREDIT_S,
    JobOrder,
    TimeClass,
    WaitingJob,
    time_class,
)

NOW_S = 1_000.0


def job(
    name: str,
    age_s: float = 0.0,
    objective_s: float = 10.0,
    chain_s: float = 2.0,
    room_s: float = 1.0,
    attained_s: float = 0.0,
    priority: int = 0,
) -> WaitingJob:
    demand = JobDemand(objective_s, chain_s, Room(), Room(), 1)
    since_s = NOW_S - age_s
    accepted_ms = int(since_s * 1000)
    return WaitingJob(
        JobId(name), priority, accepted_ms, since_s, demand, room_s, attained_s
    )


def lasting(name: str, age_s: float, priority: int = 0) -> WaitingJob:
    since_s = NOW_S - age_s
    return WaitingJob(JobId(name), priority, int(since_s * 1000), since_s, None)


def order(jobs: Sequence[WaitingJob]) -> list[str]:
    return [found.job_id for found in JobOrder().sorted(jobs, NOW_S)]


@pytest.mark.parametrize(
    ("age_s", "kind"),
    [
        pytest.param(0.0, TimeClass.IN_TIME, id="new"),
        pytest.param(8.1, TimeClass.IN_TIME, id="just_in_time"),
        pytest.param(8.3, TimeClass.LATE, id="just_late"),
        pytest.param(28.1, TimeClass.LATE, id="still_of_some_worth"),
        pytest.param(28.3, TimeClass.BEYOND, id="of_no_worth"),
    ],
)
def test_class_of_a_job(age_s: float, kind: TimeClass) -> None:
    demand = JobDemand(10.0, 2.0, Room(), Room())
    assert time_class(demand, age_s) is kind


@pytest.mark.parametrize(
    ("jobs", "expected"),
    [
        pytest.param(
            [job("low", priority=2), job("high", 40.0, priority=1)],
            ["high", "low"],
            id="priority_before_class",
        ),
        pytest.param(
            [job("beyond", 40.0), job("late", 20.0), job("new", room_s=9.0)],
            ["new", "late", "beyond"],
            id="class_before_room_and_age",
        ),
        pytest.param(
            [job("wide", 1.0, room_s=5.0), job("small", room_s=1.0)],
            ["small", "wide"],
            id="least_room",
        ),
        pytest.param(
            [job("small", room_s=1.0), job("wide", 8.0, room_s=2.0)],
            ["wide", "small"],
            id="wide_job_with_little_slack",
        ),
        pytest.param(
            [job("other", 1.0, attained_s=20.0), job("little", 1.0)],
            ["little", "other"],
            id="least_attained",
        ),
        pytest.param(
            [job("newer", 41.0), job("older", 50.0, room_s=9.0)],
            ["older", "newer"],
            id="beyond_by_age",
        ),
        pytest.param(
            [job("new"), lasting("lasts", 5.0), job("beyond", 40.0), job("more")],
            ["more", "lasts", "new", "beyond"],
            id="lasting_job_keeps_its_place",
        ),
        pytest.param(
            [lasting("newer", 1.0), lasting("older", 2.0)],
            ["older", "newer"],
            id="lasting_jobs_by_age",
        ),
    ],
)
def test_order(jobs: list[WaitingJob], expected: list[str]) -> None:
    if "lasts" in expected:
        # By age: beyond, lasts, then new and more, which are equal but for their room.
        jobs = [replace(jobs[0], room_s=2.0), *jobs[1:]]
    assert order(jobs) == expected


def test_hopeless_job_starts_after_a_bounded_wait() -> None:
    """Guards against a job that never ends while newer ones keep the fleet full."""
    found = JobOrder()
    old = job("old", HOPELESS_WAIT_FACTOR * 10.0 + 1.0, room_s=4.0)
    older = replace(old, job_id=JobId("older"), since_s=old.since_s - 5.0)
    given_s, started = 0.0, {}
    waiting = {old.job_id: old, older.job_id: older}
    for number in range(2_000):
        new = job(f"new{number}", room_s=0.2)
        first = found.sorted([*waiting.values(), new], NOW_S)[0]
        found.on_placed(first, first.room_s, NOW_S)
        if first.job_id in waiting:
            started[first.job_id] = given_s
            del waiting[first.job_id]
        else:
            given_s += first.room_s
    assert list(started) == ["older", "old"]
    slack_s = 0.2 + 1e-6
    assert started[JobId("older")] <= slack_s
    assert started[JobId("old")] <= 4.0 / HOPELESS_SHARE + slack_s
    assert started[JobId("old")] > 0.5 * 4.0 / HOPELESS_SHARE


def test_hopeless_job_that_fits_nowhere_does_not_hold_up_the_next() -> None:
    found = JobOrder()
    waits = [job(name, 200.0 - n) for n, name in enumerate(["stuck", "next"])]
    found.on_placed(job("new"), MAX_CREDIT_S / HOPELESS_SHARE, NOW_S)
    jobs = found.sorted([*waits, job("new")], NOW_S)
    assert [one.job_id for one in jobs] == ["stuck", "next", "new"]


@pytest.mark.parametrize("load", [SHORT, WIDE], ids=["short", "wide"])
def test_more_jobs_end_in_time_in_bursts_than_by_age(load: Load) -> None:
    """Guards against bursts after which every job is late, as in the order by age."""
    bursty = replace(load, bursts=BURSTS, for_s=55.0)
    by_age, found = 0.0, 0.0
    for seed in (1, 2):
        before = share_in_time(replay(bursty, seed, is_by_age=True))
        after = share_in_time(replay(bursty, seed))
        assert after >= before
        by_age, found = by_age + before / 2, found + after / 2
    assert 1.0 - found < 0.5 * (1.0 - by_age)


@pytest.mark.parametrize("load", [SHORT, WIDE], ids=["short", "wide"])
def test_calm_load_is_served_as_by_age(load: Load) -> None:
    calm = replace(load, job_rate=0.5 * load.job_rate, for_s=40.0)
    by_age, found = replay(calm, 1, is_by_age=True), replay(calm, 1)
    assert share_in_time(found) >= share_in_time(by_age)
    before_s, after_s = (sum(one.took_s for one in jobs) for jobs in (by_age, found))
    assert after_s < 1.05 * before_s


def test_burst_of_one_caller_does_not_displace_the_others() -> None:
    """Guards against others that wait behind all jobs of a burst."""
    calm = replace(SHORT, for_s=30.0)
    burst = replace(SHORT, job_rate=10.0, for_s=6.0)
    shares = []
    for is_by_age in (True, False):
        flood = make_jobs(burst, 7, first=1_000)
        others = replay(calm, 1, is_by_age=is_by_age, others=flood)
        shares.append(share_in_time(others))
    assert shares[0] < 0.5 < shares[1]


def test_every_job_ends_under_sustained_overload() -> None:
    load = replace(SHORT, job_rate=3.0, for_s=25.0)
    assert all(one.ended_s is not None for one in replay(load, 3))


JOBS = st.lists(
    st.builds(
        lambda age_s, room_s, objective_s, priority, is_lasting, number: (
            lasting(str(number), age_s, priority)
            if is_lasting
            else job(str(number), age_s, objective_s, room_s=room_s, priority=priority)
        ),
        st.floats(0, 500),
        st.floats(0, 100),
        st.floats(0.1, 100),
        st.integers(0, 2),
        st.booleans(),
        st.integers(0, 10**6),
    ),
    max_size=30,
    unique_by=(lambda one: one.job_id, lambda one: one.accepted_ms),
)


@given(JOBS, st.randoms(use_true_random=False), st.booleans())
def test_order_is_complete_and_depends_on_the_jobs_only(
    jobs: list[WaitingJob], rng: random.Random, is_owed: bool
) -> None:
    found = JobOrder()
    if is_owed:
        found.on_placed(job("any"), 1.0, NOW_S)
    ranked = found.sorted(jobs, NOW_S)
    assert sorted(ranked, key=id) == sorted(jobs, key=id)
    shuffled = list(jobs)
    rng.shuffle(shuffled)
    assert found.sorted(shuffled, NOW_S) == ranked
    assert [one.priority for one in ranked] == sorted(one.priority for one in jobs)
    by_age = sorted(jobs, key=lambda one: (one.priority, one.accepted_ms))
    for place, one in enumerate(by_age):
        if one.demand is None:
            assert ranked[place] is one


@given(JOBS, st.floats(0, 10))
def test_no_job_is_overtaken_for_ever(jobs: list[WaitingJob], room_s: float) -> None:
    """A job, however late, comes before any that is accepted after a bounded time."""
    found = JobOrder()
    found.on_placed(job("any"), max(room_s, 0.1), NOW_S)
    late_s = NOW_S + HOPELESS_WAIT_FACTOR * 100.0 + 1.0
    new = replace(job("new"), since_s=late_s, accepted_ms=int(late_s * 1000))
    timed = [one for one in jobs if one.demand is not None and one.priority == 0]
    ranked = found.sorted([*timed, new], late_s)
    assert ranked[-1].job_id == "new"
    assert all(math.isfinite(one.since_s) for one in ranked)
