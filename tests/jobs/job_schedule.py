"""One random schedule of the jobs simulation.

Callers submit jobs while faults are injected; after a quiet period the guarantees are
checked. In half of the schedules operators evacuate places as well, mostly while
another fault is in effect. What concerns evacuations is drawn by a generator of its
own, so that the other schedules stay as they were.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from job_simulation import (
    CAPACITY,
    N_PLACES,
    JobSimulation,
    SimulatedAgent,
    SimulatedEntry,
    SubmittedJob,
)

from almondspan_decisions.job_progress import JobState
from almondspan_decisions.shapes import EMPTY_SHAPE, Shape
from almondspan_jobs.options import JobOptions
from almondspan_jobs.records import OWNER_KEY

WARM_UP_S = 6.0
FAULT_PERIOD_S = 30.0
QUIET_PERIOD_S = 45.0
AFTER_EVACUATIONS_S = 30.0
"""Added to the quiet period where places were evacuated: jobs have waited up to 20 s
for them, and some tasks take up to 13 s there."""
STEP_S = 0.5
EVACUATION_LIMIT_S = 5.0
EVACUATING = JobOptions(evacuation_limit_s=EVACUATION_LIMIT_S)


@dataclass
class Result:
    """The outcome of one schedule."""

    seed: int
    violations: list[str]
    counts: dict[str, int]
    faults: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


Fault = Callable[[JobSimulation], None]
FAULTS: dict[str, Fault] = {}
"""Faults by name. The sorted names determine which faults a seed draws."""


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault under a name."""

    def add(body: Fault) -> Fault:
        FAULTS[name] = body
        return body

    return add


def _entry(simulation: JobSimulation) -> SimulatedEntry:
    return simulation.rng.choice(simulation.entries)


def _agent(simulation: JobSimulation) -> SimulatedAgent:
    return simulation.rng.choice(simulation.agents)


@fault("kill_owner")
def kill_owner(simulation: JobSimulation) -> None:
    machine = simulation.owner()
    if machine is not None:
        machine.kill()


@fault("kill_entry")
def kill_entry(simulation: JobSimulation) -> None:
    _entry(simulation).kill()


@fault("kill_agent")
def kill_agent(simulation: JobSimulation) -> None:
    _agent(simulation).kill()


@fault("kill_all")
def kill_all(simulation: JobSimulation) -> None:
    for machine in (*simulation.entries, *simulation.agents):
        machine.kill()


@fault("pause_owner")
def pause_owner(simulation: JobSimulation) -> None:
    machine = simulation.owner()
    if machine is not None and not machine.process.is_paused:
        simulation.pause(machine.process, simulation.rng.uniform(0.5, 14.0))


@fault("pause_agent")
def pause_agent(simulation: JobSimulation) -> None:
    machine = _agent(simulation)
    if not machine.process.is_paused:
        simulation.pause(machine.process, simulation.rng.uniform(0.5, 10.0))


@fault("store_silent")
def store_silent(simulation: JobSimulation) -> None:
    for_s = simulation.rng.uniform(1.0, 9.0)
    for machine in simulation.entries:
        machine.faults.is_silent = True
        simulation.schedule(for_s, setattr, machine.faults, "is_silent", False)


@fault("store_refuses_some")
def store_refuses_some(simulation: JobSimulation) -> None:
    machine = simulation.owner() or _entry(simulation)
    machine.faults.is_refusing = True
    simulation.schedule(
        simulation.rng.uniform(1.0, 9.0), setattr, machine.faults, "is_refusing", False
    )


@fault("store_loses_answers")
def store_loses_answers(simulation: JobSimulation) -> None:
    for_s = simulation.rng.uniform(1.0, 6.0)
    share = simulation.rng.choice(["lost_share", "late_share"])
    for machine in simulation.entries:
        setattr(machine.faults, share, 0.35)
        simulation.schedule(for_s, setattr, machine.faults, share, 0.0)


@fault("store_slow")
def store_slow(simulation: JobSimulation) -> None:
    for_s = simulation.rng.uniform(1.0, 5.0)
    for machine in simulation.entries:
        machine.faults.answer_s = 0.3
        simulation.schedule(for_s, setattr, machine.faults, "answer_s", 0.004)


@fault("revoke_owner_key")
def revoke_owner_key(simulation: JobSimulation) -> None:
    simulation.store.delete_leased_keys(OWNER_KEY)


@fault("drop_history")
def drop_history(simulation: JobSimulation) -> None:
    simulation.store.watch_delay_s = 1.0
    simulation.schedule(1.0, setattr, simulation.store, "watch_delay_s", 0.0)
    simulation.schedule(1.0, simulation.store.drop_history)


@fault("crash_worker")
def crash_worker(simulation: JobSimulation) -> None:
    machine = _agent(simulation)
    if not machine.worker.is_down:
        keeps_id = simulation.rng.random() < 0.5
        machine.crash_worker(simulation.rng.uniform(0.2, 4.0), keeps_id)


@fault("late_orders")
def late_orders(simulation: JobSimulation) -> None:
    for_s = simulation.rng.uniform(1.0, 5.0)
    for machine in simulation.agents:
        machine.worker.late_share = 0.3
        simulation.schedule(for_s, setattr, machine.worker, "late_share", 0.0)


@fault("cut")
def cut(simulation: JobSimulation) -> None:
    pair = frozenset({_entry(simulation).name, _agent(simulation).name})
    simulation.hub.cuts.add(pair)
    simulation.schedule(
        simulation.rng.uniform(1.0, 12.0), simulation.hub.cuts.discard, pair
    )


@fault("cut_agent_off")
def cut_agent_off(simulation: JobSimulation) -> None:
    name = _agent(simulation).name
    pairs = {frozenset({name, machine.name}) for machine in simulation.entries}
    simulation.hub.cuts |= pairs
    simulation.schedule(
        simulation.rng.uniform(1.0, 14.0), simulation.hub.cuts.difference_update, pairs
    )


Moment = tuple[float, str, Fault]
"""An action of a schedule: its time from the end of the warm-up, and its name."""


def _evacuation(rng: random.Random) -> Fault:
    """Return a random request to evacuate one place, all, or one that is not known."""
    places = [f"dc{number}" for number in range(N_PLACES)]
    chosen = rng.choice([[rng.choice(places)]] * 6 + [places, ["dc1/%2f \n"]])
    stands_s = rng.choice(
        [rng.uniform(0.05, 1.0), rng.uniform(2, 7), rng.uniform(7, 20)]
    )

    def evacuate(simulation: JobSimulation) -> None:
        for place in chosen:
            request = simulation.evacuate(place)
            if request is not None:
                simulation.schedule(stands_s, simulation.withdraw, request)

    return evacuate


def _watch_fault(rng: random.Random) -> tuple[str, Fault]:
    """Return a fault of the watches of all entries; other calls work."""
    for_s = rng.uniform(1.0, 9.0)
    late_s = rng.uniform(0.2, 1.5)
    is_silent = rng.random() < 0.5

    def disturb(simulation: JobSimulation) -> None:
        for machine in simulation.entries:
            faults = machine.faults
            if is_silent:
                faults.is_watch_silent = True
                simulation.schedule(for_s, setattr, faults, "is_watch_silent", False)
            else:
                faults.watch_late_s = late_s
                simulation.schedule(for_s, setattr, faults, "watch_late_s", 0.0)

    return ("watch_silent" if is_silent else "watch_late"), disturb


def _draw_evacuations(rng: random.Random) -> list[Moment]:
    """Return random requests, most of them close to another fault."""
    moments: list[Moment] = []
    for _ in range(rng.randint(1, 4)):
        at_s = rng.uniform(2.0, FAULT_PERIOD_S - 2.0)
        moments.append((at_s, "evacuate", _evacuation(rng)))
        if rng.random() < 0.4:
            moments.append((at_s - rng.uniform(0, 2.0), *_watch_fault(rng)))
        if rng.random() < 0.7:
            name = rng.choice(sorted(FAULTS))
            moments.append((at_s + rng.uniform(-2.0, 2.0), name, FAULTS[name]))
    return moments


def run_schedule(
    seed: int, faults: tuple[str, ...] | None = None, evacuates: bool | None = None
) -> Result:
    """Run one schedule, with the given faults or a few random ones.

    Parameters
    ----------
    evacuates : bool or None
        Whether operators evacuate places; None to draw this.
    """
    rng = random.Random(f"evacuations {seed}")
    is_drawn = rng.random() < 0.5
    evacuates = is_drawn if evacuates is None else evacuates
    simulation = JobSimulation(seed, options=EVACUATING if evacuates else None)
    extra = _draw_evacuations(rng) if evacuates else []
    try:
        return _run_schedule(simulation, seed, faults, extra)
    finally:
        simulation.close()


def _run_schedule(
    simulation: JobSimulation,
    seed: int,
    faults: tuple[str, ...] | None,
    extra: list[Moment],
) -> Result:
    rng = simulation.rng
    if faults is None:
        faults = tuple(rng.choice(sorted(FAULTS)) for _ in range(rng.randint(1, 5)))
    moments: list[Moment] = [
        (rng.uniform(0, FAULT_PERIOD_S), name, FAULTS[name]) for name in faults
    ]
    moments = sorted(moments + extra, key=lambda moment: moment[:2])
    faults = tuple(name for _, name, _ in moments)
    simulation.run(WARM_UP_S)
    begun_s = simulation.loop.now_s
    while simulation.loop.now_s < begun_s + FAULT_PERIOD_S:
        while moments and simulation.loop.now_s >= begun_s + moments[0][0]:
            _, name, body = moments.pop(0)
            simulation.trace.append(f"{simulation.loop.now_s:9.3f} fault {name}")
            simulation.run_in_loop(body)
        _act_as_callers(simulation)
        simulation.run(STEP_S)
    _end_faults(simulation)
    _finish(simulation)
    violations = simulation.violations() + _unfinished_jobs(simulation)
    counts = {"jobs": len(simulation.jobs), "runs": len(simulation.runs())}
    counts |= {f"fault {name}": faults.count(name) for name in faults}
    return Result(seed, violations, counts, list(faults), simulation.trace)


def _act_as_callers(simulation: JobSimulation) -> None:
    """Let the callers act once."""
    rng = simulation.rng
    if rng.random() < 0.5:
        simulation.submit(simulation.make_job(), _entry(simulation))
    for job in simulation.jobs.values():
        is_open = not job.is_accepted and not job.is_refused
        if is_open and len(job.answers) < 4 and rng.random() < 0.3:
            simulation.submit(job, _entry(simulation))
        if rng.random() < 0.08:
            simulation.ask_state(job, _entry(simulation))
        if job.is_accepted and rng.random() < 0.01:
            simulation.cancel(job, _entry(simulation))


def _end_faults(simulation: JobSimulation) -> None:
    simulation.hub.cuts.clear()
    for machine in simulation.entries:
        machine.faults.is_silent = machine.faults.is_refusing = False
        machine.faults.lost_share = machine.faults.late_share = 0.0
        machine.faults.answer_s = 0.004
        machine.faults.is_watch_silent = False
        machine.faults.watch_late_s = 0.0
    simulation.run_in_loop(_withdraw_all)


def _withdraw_all(simulation: JobSimulation) -> None:
    for request in simulation.evacuations:
        simulation.withdraw(request)


def _finish(simulation: JobSimulation) -> None:
    simulation.run(QUIET_PERIOD_S)
    if simulation.options.evacuation_limit_s:
        simulation.run(AFTER_EVACUATIONS_S)
    for _ in range(3):
        for job in simulation.jobs.values():
            simulation.ask_state(job, _entry(simulation))
        simulation.run(1.0)


def _fits_in_fleet(simulation: JobSimulation) -> bool:
    """Return whether the fleet holds all lasting tasks and one task of any other step.

    Random callers may ask for more lasting tasks than that; then some task waits until
    a job is cancelled.
    """
    steps = [
        step
        for job in simulation.jobs.values()
        if job.is_accepted and not job.is_cancel_requested
        for step in job.spec.steps
    ]
    lasting = [step.shape for step in steps if step.lasts for _ in range(step.n_tasks)]
    demand = sum(lasting, EMPTY_SHAPE)
    n_workers = len(simulation.agents)
    fleet = sum([CAPACITY] * n_workers, EMPTY_SHAPE)
    return all((demand + step.shape).fits_in(fleet) for step in steps) and all(
        _n_at_least(lasting, step.shape) + (not step.lasts)
        <= n_workers * _n_slots(step.shape)
        for step in steps
    )


def _n_at_least(shapes: list[Shape], wanted: Shape) -> int:
    """Return how many shapes take at least as much as another in every dimension."""
    return sum(wanted.fits_in(shape) for shape in shapes)


def _n_slots(shape: Shape) -> int:
    """Return how many tasks of a shape fit on one worker."""
    n_slots = 0
    used = shape
    while used.fits_in(CAPACITY):
        n_slots += 1
        used = used + shape
    return n_slots


def _unfinished_jobs(simulation: JobSimulation) -> list[str]:
    """Return accepted jobs that did not finish in the quiet period."""
    has_room = _fits_in_fleet(simulation)
    found = []
    for job in simulation.jobs.values():
        if not job.is_accepted:
            continue
        state = simulation.state_of(job)
        if state is None:
            found.append(f"LOST {job.job_id} has no state")
        elif job.is_cancel_requested or not has_room:
            continue
        elif job.spec.steps[0].lasts:
            found += _missing_lasting(simulation, job)
        elif state not in (JobState.COMPLETED, JobState.FAILED):
            found.append(f"LOST {job.job_id} is {state.value} after the quiet period")
    return found


def _missing_lasting(simulation: JobSimulation, job: SubmittedJob) -> list[str]:
    running = {run.task for run in simulation.runs() if run.ended_s is None}
    names = [f"{job.job_id}.0.0.{n}" for n in range(job.spec.steps[0].n_tasks)]
    missing = [name for name in names if name not in running]
    return [f"LOST {name} is not running" for name in missing]
