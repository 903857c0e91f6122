"""Tasks that crash their workers are given up; those whose workers crash are not."""

from collections.abc import Callable

import pytest
from job_simulation import JobSimulation, SubmittedJob

from almondspan_decisions.crash_blame import MAX_CRASHES, MAX_RESTART_PAUSE_S
from almondspan_decisions.job_graph import StepSpec
from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import Shape

SHAPE = Shape(500, 500)
SHORT = (StepSpec(3, SHAPE, estimate_ms=1_500),)
LONG = (StepSpec(3, SHAPE, estimate_ms=6_000),)
ONE = (StepSpec(1, SHAPE, estimate_ms=6_000),)
LASTING = (StepSpec(3, SHAPE, estimate_ms=100, lasts=True),)
RUN_S = 70.0
LASTING_RUN_S = 600.0
MAX_CRASHES_IN_LASTING_RUN = MAX_CRASHES + 2 + LASTING_RUN_S / MAX_RESTART_PAUSE_S
SUBMIT_S = 20.0


def kill_owner(simulation: JobSimulation) -> None:
    machine = simulation.owner()
    if machine is not None:
        machine.kill()


def kill_all(simulation: JobSimulation) -> None:
    for machine in (*simulation.entries, *simulation.agents):
        machine.kill()


def alternate_down_time(simulation: JobSimulation) -> None:
    """Let every other worker be back long after its lease has expired."""
    simulation.crash_down_s = 15.0 - simulation.crash_down_s


def nothing(simulation: JobSimulation) -> None:
    pass


def play(
    steps: tuple[StepSpec, ...],
    crash_after_s: float,
    on_crash: Callable[[JobSimulation], None] = nothing,
    down_s: float = 3.0,
    keeps_id: bool = False,
    n_crashing: int = 1,
) -> tuple[JobSimulation, list[SubmittedJob], list[SubmittedJob]]:
    """Play crashing jobs beside sound ones; return both."""
    simulation = JobSimulation(5, n_entries=2, n_agents=5)
    simulation.crash_down_s = down_s
    simulation.crash_keeps_id = keeps_id
    simulation.on_task_crash = lambda: on_crash(simulation)
    simulation.run(4.0)
    crashing = [simulation.make_job(steps) for _ in range(n_crashing)]
    for job in crashing:
        simulation.crashing[f"{job.job_id}.0.0.1"] = crash_after_s
        simulation.submit(job, simulation.entries[0])
    sound = []
    for _ in range(int(SUBMIT_S)):
        job = simulation.make_job(SHORT)
        sound.append(job)
        simulation.submit(job, simulation.entries[0])
        simulation.run(1.0)
    simulation.run(RUN_S - SUBMIT_S)
    for job in (*crashing, *sound):
        simulation.ask_state(job, simulation.entries[1])
    simulation.run(1.0)
    return simulation, crashing, sound


@pytest.mark.parametrize(
    ("steps", "crash_after_s", "on_crash", "down_s", "keeps_id", "n_crashing"),
    [
        pytest.param(SHORT, 0.01, nothing, 3.0, False, 1, id="at_its_start"),
        pytest.param(SHORT, 0.01, nothing, 3.0, True, 1, id="same_id_again"),
        pytest.param(SHORT, 0.01, nothing, 0.3, False, 1, id="back_at_once"),
        pytest.param(SHORT, 0.01, nothing, 9.0, False, 1, id="back_after_its_lease"),
        pytest.param(SHORT, 0.8, nothing, 3.0, False, 1, id="in_its_run"),
        pytest.param(LONG, 4.0, nothing, 3.0, False, 1, id="late_in_its_run"),
        pytest.param(LONG, 1.0, alternate_down_time, 3.0, False, 1, id="back_by_turns"),
        pytest.param(SHORT, 0.01, kill_owner, 3.0, False, 1, id="owner_dies_with_it"),
        pytest.param(SHORT, 0.01, kill_all, 3.0, False, 1, id="all_die_with_it"),
        pytest.param(
            SHORT, 0.01, kill_owner, 9.0, False, 1, id="owner_dies_lease_expires"
        ),
        pytest.param(SHORT, 0.01, nothing, 3.0, False, 3, id="three_jobs_at_once"),
    ],
)
def test_task_that_crashes_its_workers_is_given_up(
    steps: tuple[StepSpec, ...],
    crash_after_s: float,
    on_crash: Callable[[JobSimulation], None],
    down_s: float,
    keeps_id: bool,
    n_crashing: int,
) -> None:
    simulation, crashing, _ = play(
        steps, crash_after_s, on_crash, down_s, keeps_id, n_crashing
    )
    try:
        assert simulation.violations() == []
        assert [simulation.state_of(job) for job in crashing] == [
            JobState.FAILED
        ] * n_crashing
    finally:
        simulation.close()


@pytest.mark.parametrize(
    ("crash_after_s", "on_crash", "down_s", "keeps_id"),
    [
        pytest.param(0.01, nothing, 3.0, False, id="at_its_start"),
        pytest.param(0.01, nothing, 0.3, True, id="back_at_once"),
        pytest.param(0.8, nothing, 3.0, False, id="in_its_run"),
        pytest.param(4.0, nothing, 3.0, False, id="late_in_its_run"),
        pytest.param(0.01, kill_owner, 3.0, False, id="owner_dies_with_it"),
    ],
)
def test_lasting_task_that_crashes_its_workers_is_held_back(
    crash_after_s: float,
    on_crash: Callable[[JobSimulation], None],
    down_s: float,
    keeps_id: bool,
) -> None:
    """Guards against LOST: a lasting job is failed; and against too many crashes.

    The task is restarted, but no sooner after its last run than the longest pause.
    """
    simulation, (job,), sound = play(LASTING, crash_after_s, on_crash, down_s, keeps_id)
    try:
        assert {simulation.state_of(other) for other in sound} == {JobState.COMPLETED}
        simulation.run(LASTING_RUN_S - RUN_S)
        simulation.ask_state(job, simulation.entries[1])
        simulation.run(1.0)
        assert simulation.state_of(job) is JobState.RUNNING
        n_crashes = sum(
            run.task in simulation.crashing and run.how is None
            for run in simulation.runs()
        )
        assert n_crashes > MAX_CRASHES
        assert n_crashes <= MAX_CRASHES_IN_LASTING_RUN
        running = {run.task for run in simulation.runs() if run.ended_s is None}
        assert running >= {f"{job.job_id}.0.0.{number}" for number in (0, 2)}
    finally:
        simulation.close()


@pytest.mark.parametrize(
    ("crash_after_s", "n_crashing"),
    [
        pytest.param(0.01, 1, id="at_its_start"),
        pytest.param(0.01, 3, id="three_jobs_at_once"),
        pytest.param(0.8, 1, id="in_its_run"),
    ],
)
def test_tasks_beside_one_that_crashes_their_worker_are_not_given_up(
    crash_after_s: float, n_crashing: int
) -> None:
    simulation, _, sound = play(SHORT, crash_after_s, n_crashing=n_crashing)
    try:
        states = [simulation.state_of(job) for job in sound]
        assert states == [JobState.COMPLETED] * len(sound)
    finally:
        simulation.close()


WAVE_S = 6.0
N_WAVES = 8
N_LASTING = 4
SUBMIT_INTERVAL_S = 0.25


def crash_half(simulation: JobSimulation, keeps_id: bool) -> None:
    """Crash half of the workers at one moment; they return one after the other."""
    for machine in simulation.rng.sample(simulation.agents, 4):
        if not machine.worker.is_down:
            machine.crash_worker(simulation.rng.uniform(0.6, 1.1), keeps_id)


def play_waves(
    seed: int,
    n_crashing: int,
    on_wave: Callable[[JobSimulation], None],
    keeps_id: bool,
    crash_after_s: float = 0.01,
    closes_on_crash: bool = False,
) -> tuple[JobSimulation, list[SubmittedJob]]:
    """Play jobs, the first of which crash workers, while workers crash in waves.

    `N_LASTING` jobs last through all waves.
    """
    simulation = JobSimulation(seed, n_entries=2, n_agents=8)
    for machine in simulation.agents:
        machine.worker.closes_on_crash = closes_on_crash
    simulation.run(4.0)
    for _ in range(N_LASTING):
        simulation.submit(simulation.make_job(LASTING), simulation.entries[0])
    jobs: list[SubmittedJob] = []
    for _ in range(N_WAVES):
        for _ in range(int(WAVE_S / SUBMIT_INTERVAL_S)):
            job = simulation.make_job(SHORT)
            if len(jobs) < n_crashing:
                simulation.crashing[f"{job.job_id}.0.0.1"] = crash_after_s
            jobs.append(job)
            simulation.submit(job, simulation.entries[0])
            simulation.run(SUBMIT_INTERVAL_S)
        simulation.run_in_loop(lambda played: crash_half(played, keeps_id))
        simulation.run_in_loop(on_wave)
    simulation.run(15.0)
    for job in simulation.jobs.values():
        simulation.ask_state(job, simulation.entries[1])
    simulation.run(1.0)
    return simulation, jobs


@pytest.mark.parametrize("seed", [1, 3])
@pytest.mark.parametrize(
    ("n_crashing", "on_wave", "keeps_id"),
    [
        pytest.param(0, nothing, False, id="no_task_at_fault"),
        pytest.param(0, nothing, True, id="same_ids_again"),
        pytest.param(3, nothing, False, id="beside_crashing_tasks"),
        pytest.param(0, kill_owner, False, id="owner_dies_with_each_wave"),
        pytest.param(3, kill_owner, False, id="owner_dies_beside_crashing_tasks"),
    ],
)
def test_job_whose_tasks_were_only_sent_to_crashed_workers_is_not_failed(
    n_crashing: int,
    on_wave: Callable[[JobSimulation], None],
    keeps_id: bool,
    seed: int,
) -> None:
    simulation, jobs = play_waves(seed, n_crashing, on_wave, keeps_id)
    try:
        assert simulation.violations() == []
        crashing = [simulation.state_of(job) for job in jobs[:n_crashing]]
        assert crashing == [JobState.FAILED] * n_crashing
    finally:
        simulation.close()


@pytest.mark.parametrize("seed", [1, 3])
@pytest.mark.parametrize(
    ("n_crashing", "crash_after_s", "closes_on_crash"),
    [
        pytest.param(0, 0.0, True, id="no_task_at_fault"),
        pytest.param(0, 0.0, False, id="workers_lose_power"),
        pytest.param(3, 0.01, True, id="beside_crashing_tasks"),
        pytest.param(3, 0.8, True, id="beside_tasks_that_crash_in_their_runs"),
    ],
)
def test_lasting_job_whose_workers_crash_in_waves_is_not_failed(
    n_crashing: int, crash_after_s: float, closes_on_crash: bool, seed: int
) -> None:
    simulation, jobs = play_waves(
        seed, n_crashing, nothing, False, crash_after_s, closes_on_crash
    )
    try:
        assert simulation.violations() == []
        crashing = [simulation.state_of(job) for job in jobs[:n_crashing]]
        assert crashing == [JobState.FAILED] * n_crashing
        lasting = [job for job in simulation.jobs.values() if job not in jobs]
        assert [simulation.state_of(job) for job in lasting] == [
            JobState.RUNNING
        ] * N_LASTING
    finally:
        simulation.close()


@pytest.mark.parametrize("seed", [2, 5, 6])
def test_tasks_that_crash_workers_in_step_are_not_started_too_often(seed: int) -> None:
    simulation, jobs = play_waves(seed, 6, nothing, False, 0.8, True)
    try:
        assert simulation.violations() == []
    finally:
        simulation.close()


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_jobs_that_crash_workers_at_one_moment_are_not_started_too_often(
    seed: int,
) -> None:
    simulation = JobSimulation(seed, n_entries=2, n_agents=8)
    try:
        for machine in simulation.agents:
            machine.worker.closes_on_crash = True
        simulation.run(4.0)
        for _ in range(8):
            job = simulation.make_job(ONE)
            simulation.crashing[f"{job.job_id}.0.0.0"] = 0.8
            simulation.submit(job, simulation.entries[0])
        simulation.run(90.0)
        assert simulation.violations() == []
    finally:
        simulation.close()


def test_crash_known_after_the_lease_counts_though_the_owner_died() -> None:
    def on_crash(simulation: JobSimulation) -> None:
        simulation.schedule(7.0, lambda: kill_owner(simulation))

    simulation, _, _ = play(SHORT, 0.01, on_crash, 9.0)
    try:
        assert simulation.violations() == []
    finally:
        simulation.close()


@pytest.mark.parametrize(("after_s", "down_s"), [(1.0, 9.0), (4.0, 12.0)])
def test_crashes_known_late_are_not_followed_by_too_many_starts(
    after_s: float, down_s: float
) -> None:
    def on_crash(simulation: JobSimulation) -> None:
        simulation.crash_down_s = down_s + 3.0 - simulation.crash_down_s

    simulation, _, _ = play(LONG, after_s, on_crash, down_s)
    try:
        assert simulation.violations() == []
    finally:
        simulation.close()
