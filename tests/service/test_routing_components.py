"""Retry budget, fair queue, ejection, slow start, flap damping and estimates."""

import pytest

from almondspan_decisions.ids import CallerId
from almondspan_service.caller_shares import CallerShares
from almondspan_service.ejection import (
    EjectionOptions,
    HealthState,
    RunnerHealth,
    is_outlier,
    may_eject,
)
from almondspan_service.fair_queue import FairQueue
from almondspan_service.flap_damping import DampingOptions, FlapDamper
from almondspan_service.latency_window import LatencyWindow
from almondspan_service.retry_budget import RetryBudget
from almondspan_service.run_estimate import RunEstimate
from almondspan_service.slow_start import slow_start_weight


@pytest.mark.parametrize(
    ("n_requests", "n_wanted", "n_granted"),
    [
        pytest.param(0, 20, 5, id="burst"),
        pytest.param(100, 20, 5, id="capped"),
        pytest.param(0, 0, 0, id="none"),
    ],
)
def test_budget_is_capped(n_requests: int, n_wanted: int, n_granted: int) -> None:
    budget = RetryBudget(0.2, 5.0)
    for _ in range(n_requests):
        budget.on_request()
    assert sum(budget.take() for _ in range(n_wanted)) == n_granted


def test_budget_is_a_share_of_requests() -> None:
    budget = RetryBudget(0.2, 5.0)
    n_granted = 0
    for _ in range(1000):
        budget.on_request()
        n_granted += budget.take()
    assert 200 <= n_granted <= 205


@pytest.mark.parametrize(
    ("pushed", "order", "dropped"),
    [
        pytest.param("aaab", "abaa", "", id="turns"),
        pytest.param("abab", "abab", "", id="already-fair"),
        pytest.param("aaaaab", "abaa", "aa", id="burst-loses-its-newest"),
        pytest.param("aaaaa", "aaaa", "a", id="lone-caller-loses-the-newcomer"),
        pytest.param("aabbc", "abcb", "a", id="oldest-of-the-longest"),
    ],
)
def test_fair_queue(pushed: str, order: str, dropped: str) -> None:
    queue: FairQueue[str] = FairQueue(4)
    dropped_items = [queue.push(CallerId(name), name) for name in pushed]
    assert "".join(name for name in dropped_items if name) == dropped
    assert queue.n_ahead(CallerId("new")) == len(set(order))
    taken = [queue.pop() for _ in range(len(queue))]
    assert "".join(name for name in taken if name) == order
    assert queue.pop() is None


def test_burst_leaves_capacity_for_other_callers() -> None:
    shares = CallerShares(100)
    n_burst = sum(shares.admit(CallerId("burst")) for _ in range(1000))
    n_quiet = sum(shares.admit(CallerId("quiet")) for _ in range(10))
    assert (n_burst, n_quiet) == (50, 10)
    for _ in range(50):
        shares.release(CallerId("burst"))
    assert shares.n_in_flight == 10


@pytest.mark.parametrize(
    ("age_s", "weight"),
    [
        pytest.param(0.0, 0.1, id="new"),
        pytest.param(5.0, 0.5, id="half"),
        pytest.param(10.0, 1.0, id="done"),
        pytest.param(-3.0, 0.1, id="not-yet"),
    ],
)
def test_slow_start(age_s: float, weight: float) -> None:
    assert slow_start_weight(age_s, 10.0) == weight


@pytest.mark.parametrize(
    ("n_unhealthy", "n_runners", "allowed"),
    [
        pytest.param(0, 1, False, id="the-only-one"),
        pytest.param(0, 2, True, id="one-of-two"),
        pytest.param(1, 2, False, id="both"),
        pytest.param(2, 10, True, id="third-of-ten"),
        pytest.param(3, 10, False, id="fourth-of-ten"),
    ],
)
def test_share_ejected_is_capped(
    n_unhealthy: int, n_runners: int, allowed: bool
) -> None:
    assert may_eject(n_unhealthy, n_runners, 0.34) is allowed


@pytest.mark.parametrize(
    ("latency_ms", "peers_ms", "outlier"),
    [
        pytest.param(1000.0, [10.0, 12.0, 9.0], True, id="slow"),
        pytest.param(90.0, [10.0, 12.0, 9.0], False, id="nine-times"),
        pytest.param(20.0, [1.0, 1.0, 1.0], False, id="small"),
        pytest.param(1000.0, [10.0], False, id="too-few-peers"),
        pytest.param(1000.0, [900.0, 800.0, 9.0], False, id="peers-too"),
    ],
)
def test_outliers(latency_ms, peers_ms, outlier) -> None:
    assert is_outlier(latency_ms, peers_ms, EjectionOptions()) is outlier


@pytest.mark.parametrize(
    ("results", "state"),
    [
        pytest.param("ffff", HealthState.HEALTHY, id="too-few"),
        pytest.param("ffffsf", HealthState.HEALTHY, id="not-in-a-row"),
        pytest.param("fffff", HealthState.EJECTED, id="ejected"),
        pytest.param("fffffw", HealthState.PROBING, id="probing"),
        pytest.param("fffffwss", HealthState.PROBING, id="two-probes"),
        pytest.param("fffffwsss", HealthState.HEALTHY, id="recovered"),
        pytest.param("fffffwsf", HealthState.EJECTED, id="probe-fails"),
        pytest.param("fffffwfw", HealthState.EJECTED, id="longer-the-second-time"),
        pytest.param("fffffwfww", HealthState.PROBING, id="second-time-over"),
    ],
)
def test_health(results: str, state: HealthState) -> None:
    """Apply failures (f), successes (s) and waits (w) of the first ejection time."""
    options = EjectionOptions()
    health = RunnerHealth(options)
    now_s = 0.0
    for result in results:
        if result == "f" and health.on_failure():
            health.start_ejection(now_s)
        elif result == "s":
            health.on_success()
        elif result == "w":
            now_s += options.base_ejection_s
            health.end_ejection_if_due(now_s)
    assert health.state is state


@pytest.mark.parametrize(
    ("departures_s", "suppressed_s"),
    [
        pytest.param([0.0], 0.0, id="once"),
        pytest.param([0.0, 30.0, 60.0, 90.0], 0.0, id="slowly"),
        pytest.param([0.0, 1.0, 2.0], 25.0, id="flapping"),
        pytest.param([0.0, 1.0, 2.0, 3.0, 4.0], 39.0, id="worse"),
    ],
)
def test_flap_damping(departures_s: list[float], suppressed_s: float) -> None:
    damper = FlapDamper(DampingOptions())
    now_s = 0.0
    for now_s in departures_s:
        damper.on_departure("w", now_s)
    wait_s = damper.suppressed_until_s("w", now_s) - now_s
    assert wait_s == pytest.approx(suppressed_s, abs=1.0)
    assert damper.suppressed_until_s("other", now_s) == now_s


def test_latency_window_forgets() -> None:
    window = LatencyWindow(period_s=10.0, shares=(0.9,), min_values=10)
    for n in range(9):
        window.add(n * 0.1, 100.0)
    assert window.quantiles_ms(1.0) == ()
    window.add(1.0, 100.0)
    assert window.quantiles_ms(2.0) == pytest.approx((100.0,), rel=0.02)
    for n in range(20):
        window.add(12.0 + n * 0.01, 10.0)
    assert window.quantiles_ms(12.5) == pytest.approx((100.0,), rel=0.02)
    for n in range(20):
        window.add(40.0 + n * 0.01, 10.0)
    assert window.quantiles_ms(41.0) == pytest.approx((10.0,), rel=0.02)


def test_a_straggler_moves_the_mean_and_not_the_median() -> None:
    estimate = RunEstimate(0.01)
    for n in range(400):
        estimate.add(0.5 if n % 20 == 0 else 0.01)
    assert estimate.median_s == pytest.approx(0.01, rel=0.2)
    assert 0.02 < estimate.mean_s < 0.06


def test_only_long_stopped_runs_are_learned() -> None:
    estimate = RunEstimate(0.01)
    for _ in range(20):
        estimate.add_stopped(0.005)
    assert estimate.median_s == 0.01
    for _ in range(20):
        estimate.add_stopped(0.05)
    assert estimate.median_s == 0.05
