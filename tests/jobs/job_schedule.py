"""One random schedule of the job system: callers, faults, a calm end, a judgement."""

from collections.abc import Callable
from dataclasses import dataclass, field

from job_simulation import JobWorld, SimulatedAgent, SimulatedEntry, Submitted

from almondspan_decisions.job_progress import JobState
from almondspan_jobs.records import OWNER_KEY

CALM_START_S = 6.0
TROUBLE_S = 30.0
CALM_END_S = 45.0
STEP_S = 0.5


@dataclass
class Result:
    """What one schedule gave."""

    seed: int
    violations: list[str]
    counts: dict[str, int]
    faults: list[str] = field(default_factory=list)
    trace: list[str] = field(default_factory=list)


Fault = Callable[[JobWorld], None]
FAULTS: dict[str, Fault] = {}


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a fault."""

    def add(body: Fault) -> Fault:
        FAULTS[name] = body
        return body

    return add


def _entry(world: JobWorld) -> SimulatedEntry:
    return world.rng.choice(world.entries)


def _agent(world: JobWorld) -> SimulatedAgent:
    return world.rng.choice(world.agents)


@fault("kill_owner")
def kill_owner(world: JobWorld) -> None:
    site = world.owner()
    if site is not None:
        site.kill()


@fault("kill_entry")
def kill_entry(world: JobWorld) -> None:
    _entry(world).kill()


@fault("kill_agent")
def kill_agent(world: JobWorld) -> None:
    _agent(world).kill()


@fault("kill_all")
def kill_all(world: JobWorld) -> None:
    for site in (*world.entries, *world.agents):
        site.kill()


@fault("pause_owner")
def pause_owner(world: JobWorld) -> None:
    site = world.owner()
    if site is not None and not site.process.is_paused:
        world.pause(site.process, world.rng.uniform(0.5, 14.0))


@fault("pause_agent")
def pause_agent(world: JobWorld) -> None:
    site = _agent(world)
    if not site.process.is_paused:
        world.pause(site.process, world.rng.uniform(0.5, 10.0))


@fault("store_silent")
def store_silent(world: JobWorld) -> None:
    for_s = world.rng.uniform(1.0, 9.0)
    for site in world.entries:
        site.faults.is_silent = True
        world.later(for_s, setattr, site.faults, "is_silent", False)


@fault("store_refuses_some")
def store_refuses_some(world: JobWorld) -> None:
    site = world.owner() or _entry(world)
    site.faults.is_refusing = True
    world.later(world.rng.uniform(1.0, 9.0), setattr, site.faults, "is_refusing", False)


@fault("store_loses_answers")
def store_loses_answers(world: JobWorld) -> None:
    for_s = world.rng.uniform(1.0, 6.0)
    share = world.rng.choice(["lost_share", "late_share"])
    for site in world.entries:
        setattr(site.faults, share, 0.35)
        world.later(for_s, setattr, site.faults, share, 0.0)


@fault("store_slow")
def store_slow(world: JobWorld) -> None:
    for_s = world.rng.uniform(1.0, 5.0)
    for site in world.entries:
        site.faults.answer_s = 0.3
        world.later(for_s, setattr, site.faults, "answer_s", 0.004)


@fault("revoke_owner_key")
def revoke_owner_key(world: JobWorld) -> None:
    world.store.revoke_keys(OWNER_KEY)


@fault("drop_history")
def drop_history(world: JobWorld) -> None:
    world.store.watch_delay_s = 1.0
    world.later(1.0, setattr, world.store, "watch_delay_s", 0.0)
    world.later(1.0, world.store.drop_history)


@fault("crash_worker")
def crash_worker(world: JobWorld) -> None:
    site = _agent(world)
    if not site.worker.is_down:
        keeps_id = world.rng.random() < 0.5
        site.crash_worker(world.rng.uniform(0.2, 4.0), keeps_id)


@fault("late_orders")
def late_orders(world: JobWorld) -> None:
    for_s = world.rng.uniform(1.0, 5.0)
    for site in world.agents:
        site.worker.late_share = 0.3
        world.later(for_s, setattr, site.worker, "late_share", 0.0)


@fault("cut")
def cut(world: JobWorld) -> None:
    pair = frozenset({_entry(world).name, _agent(world).name})
    world.hub.cuts.add(pair)
    world.later(world.rng.uniform(1.0, 12.0), world.hub.cuts.discard, pair)


@fault("cut_agent_off")
def cut_agent_off(world: JobWorld) -> None:
    name = _agent(world).name
    pairs = {frozenset({name, site.name}) for site in world.entries}
    world.hub.cuts |= pairs
    world.later(world.rng.uniform(1.0, 14.0), world.hub.cuts.difference_update, pairs)


def run_schedule(seed: int, faults: tuple[str, ...] | None = None) -> Result:
    """Play one schedule; without a list of faults, a few at random."""
    world = JobWorld(seed)
    try:
        return _play(world, seed, faults)
    finally:
        world.close()


def _play(world: JobWorld, seed: int, faults: tuple[str, ...] | None) -> Result:
    rng = world.rng
    if faults is None:
        faults = tuple(rng.choice(sorted(FAULTS)) for _ in range(rng.randint(1, 5)))
    moments = sorted((rng.uniform(0, TROUBLE_S), name) for name in faults)
    world.run(CALM_START_S)
    begun_s = world.loop.now_s
    while world.loop.now_s < begun_s + TROUBLE_S:
        while moments and world.loop.now_s >= begun_s + moments[0][0]:
            name = moments.pop(0)[1]
            world.trace.append(f"{world.loop.now_s:9.3f} fault {name}")
            world.act(FAULTS[name])
        _call(world)
        world.run(STEP_S)
    _end_faults(world)
    _finish(world)
    violations = world.violations() + _unfinished(world)
    counts = {"jobs": len(world.jobs), "runs": len(world.runs())}
    counts |= {f"fault {name}": faults.count(name) for name in faults}
    return Result(seed, violations, counts, list(faults), world.trace)


def _call(world: JobWorld) -> None:
    """Let callers do what they do in half a second."""
    rng = world.rng
    if rng.random() < 0.5:
        world.submit(world.make_job(), _entry(world))
    for job in world.jobs.values():
        is_open = not job.is_accepted and not job.is_refused
        if is_open and len(job.answers) < 4 and rng.random() < 0.3:
            world.submit(job, _entry(world))
        if rng.random() < 0.08:
            world.ask_state(job, _entry(world))
        if job.is_accepted and rng.random() < 0.01:
            world.cancel(job, _entry(world))


def _end_faults(world: JobWorld) -> None:
    world.hub.cuts.clear()
    for site in world.entries:
        site.faults.is_silent = site.faults.is_refusing = False
        site.faults.lost_share = site.faults.late_share = 0.0
        site.faults.answer_s = 0.004


def _finish(world: JobWorld) -> None:
    world.run(CALM_END_S)
    for _ in range(3):
        for job in world.jobs.values():
            world.ask_state(job, _entry(world))
        world.run(1.0)


def _unfinished(world: JobWorld) -> list[str]:
    """Return accepted jobs that did not come to their end in the calm."""
    found = []
    for job in world.jobs.values():
        if not job.is_accepted:
            continue
        state = world.state_of(job)
        if state is None:
            found.append(f"LOST {job.job_id} has no state")
        elif job.cancel_asked:
            continue
        elif job.spec.steps[0].lasts:
            found += _missing_lasting(world, job)
        elif state not in (JobState.COMPLETED, JobState.FAILED):
            found.append(f"LOST {job.job_id} is {state.value} after the calm")
    return found


def _missing_lasting(world: JobWorld, job: Submitted) -> list[str]:
    running = {run.task for run in world.runs() if run.ended_s is None}
    names = [f"{job.job_id}.0.0.{n}" for n in range(job.spec.steps[0].n_tasks)]
    missing = [name for name in names if name not in running]
    return [f"LOST {name} does not run" for name in missing]
