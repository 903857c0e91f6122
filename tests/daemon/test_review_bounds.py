"""Relations between default settings of different packages that safety relies on."""

import pytest

from almondspan_daemon.platform_clients import make_worker
from almondspan_daemon.settings_model import LeasesSection
from almondspan_platform.http_json import HttpJsonWorker
from almondspan_platform.registry import WORKER_ADAPTERS
from almondspan_tasks.options import AttemptAgentOptions

DRIFT = 0.01
"""Maximum drift between two machines' monotonic clocks, as a share of the time."""


@pytest.mark.parametrize(
    "adapter", [pytest.param(name, id=name) for name in sorted(WORKER_ADAPTERS)]
)
def test_worker_call_times_out_within_the_attempt_agents_bound(adapter: str) -> None:
    worker = make_worker(adapter, "http://127.0.0.1:1", None)
    assert isinstance(worker, HttpJsonWorker)
    assert worker._options.limits.timeout_s < AttemptAgentOptions().call_bound_s


def test_lease_margin_covers_a_late_call_and_clock_drift() -> None:
    leases = LeasesSection()
    drift_s = DRIFT * leases.horizon_s
    assert leases.margin_s >= AttemptAgentOptions().call_bound_s + drift_s
