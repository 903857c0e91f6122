"""Generates docs/CAPACITY.md from the recorded measurements.

The page is computed from docs/measurements/slopes.json, load_starts.json and the
design size below, so that it always matches the measurements. With ``--check`` nothing
is written; it ends with 1 when the page differs.
"""

import argparse
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

ROOT: Final = Path(__file__).resolve().parent.parent
SLOPES: Final = ROOT / "docs" / "measurements" / "slopes.json"
LOAD: Final = ROOT / "docs" / "measurements" / "load_starts.json"
PAGE: Final = ROOT / "docs" / "CAPACITY.md"

N_WORKERS: Final = 890
N_REGIONS: Final = 2
N_PLACES: Final = 5
N_ENTRIES: Final = 8
N_SHARDS: Final = 64
N_TASKS: Final = 2_700 + 7_200
N_TEAMS: Final = 36
STARTS_PER_S: Final = 94.0
JOBS_PER_DAY: Final = 16_000
CHANGES_PER_DAY: Final = 1_400
CONFIG_BYTES: Final = 40_000
"""A configuration of 36 teams, 60 services and 100 task classes, as TOML."""

DAY_S: Final = 86_400.0
CPU_BUDGET: Final = 0.015
MEMORY_BUDGET_MB: Final = 128.0
BYTES_BUDGET_PER_S: Final = 14_000.0
WRITES_BUDGET_PER_S: Final = 300.0
READS_BUDGET_PER_S: Final = 2_000.0

HORIZON_S: Final = 30.0
MARGIN_S: Final = 3.0
WORKER_LEASE_S: Final = 5.0
TASK_WAIT_S: Final = HORIZON_S + 2 * WORKER_LEASE_S + MARGIN_S
SILENCE_S: Final = 3.0
OWNER_SILENCE_S: Final = 3.5
READS_PER_TAKEOVER: Final = 6
"""Reads of the head record while its owner is silent, and of its chunks."""

LEASE_S: Final = 12.0
REREAD_S: Final = 4.0
MAX_COMMITS_PER_SHARD_S: Final = 4.0


@dataclass(frozen=True)
class Line:
    """A straight line fitted to measured points."""

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the value of the line at `x`."""
        return self.base + self.slope * x


class Slopes:
    """The recorded measurements."""

    def __init__(self, slopes: dict[str, Any], load: dict[str, Any]) -> None:
        self.raw = slopes
        self.load = load

    def line(self, section: str, column: str) -> Line:
        """Return the fitted line of a column."""
        found = self.raw[section]["lines"][column]
        return Line(found["base"], found["slope"])

    def idle_agent(self, column: str) -> float:
        """Return a figure of the idle agent."""
        return float(self.raw["agent_rest"]["points"][0][column])


def verdict(value: float, budget: float) -> str:
    """Return the verdict on whether a value is within its budget."""
    return "pass" if value <= budget else "MISS"


def measured_tables(slopes: Slopes) -> list[str]:
    """Return the measured points and fitted lines."""
    lines = []
    for name, section in slopes.raw.items():
        columns = list(section["points"][0])
        lines += [f"### {name}", "", "| " + " | ".join(columns) + " |"]
        lines.append("| " + " | ".join("---" for _ in columns) + " |")
        for point in section["points"]:
            lines.append("| " + " | ".join(f"{point[c]:g}" for c in columns) + " |")
        lines.append("")
        for column, fit in section.get("lines", {}).items():
            lines.append(
                f"- {column} = {fit['base']:g} + {fit['slope']:g} x {section['x']}; "
                f"largest residual {100 * fit['residual_share']:.1f}% of the largest"
                " value"
            )
        lines.append("")
    return lines


@dataclass(frozen=True)
class AgentCost:
    """Cost of an agent at the design size."""

    cpu_share: float
    rss_mb: float
    bytes_per_s: float


def agent_cost(slopes: Slopes, n_owned: float) -> AgentCost:
    """Return the cost of an agent that owns `n_owned` shards at peak load."""
    n_tasks = N_TASKS / N_WORKERS
    n_entries = N_ENTRIES / N_REGIONS
    starts_per_s = STARTS_PER_S / N_SHARDS * n_owned
    per_start_s = slopes.line("owner_starts", "agents_cpu_share").slope
    cpu = (
        slopes.idle_agent("cpu_share")
        + slopes.line("agent_tasks", "cpu_share").slope * n_tasks
    )
    cpu += per_start_s * max(starts_per_s, STARTS_PER_S / N_WORKERS)
    # An agent sends its status to every entry; the measured agent had one entry.
    rest_bytes = slopes.idle_agent("bytes_per_s") * n_entries
    task_bytes = slopes.line("agent_tasks", "bytes_per_s").slope * n_tasks
    config_bytes = CONFIG_BYTES * CHANGES_PER_DAY / DAY_S * 2
    start_bytes = 6 * 700 * starts_per_s
    memory = (
        slopes.idle_agent("rss_mb")
        + slopes.line("agent_tasks", "rss_mb").slope * n_tasks
    )
    memory += n_owned * 2.0
    return AgentCost(cpu, memory, rest_bytes + task_bytes + config_bytes + start_bytes)


def role_table(slopes: Slopes) -> list[str]:
    """Return the costs of each role compared with its budgets."""
    agents_per_region = N_WORKERS / N_REGIONS
    plain, owner = agent_cost(slopes, 0.0), agent_cost(slopes, 1.0)
    entry_cpu = slopes.line("entry_agents", "cpu_share").at(agents_per_region)
    messages_per_s = STARTS_PER_S / N_REGIONS * 10 + agents_per_region * 2
    routing_cpu = (
        slopes.line("entry_mail", "cpu_share").slope
        * messages_per_s
        * N_REGIONS
        / N_ENTRIES
    )
    entry_rss = slopes.line("entry_agents", "rss_mb").at(agents_per_region)
    entry_bytes = slopes.line("entry_agents", "bytes_per_s").at(agents_per_region)
    lines = [
        "| role | processor, share of a core | memory, MB | control, KB/s | verdict |",
        "| --- | --- | --- | --- | --- |",
    ]
    for name, cost in (("agent", plain), ("agent that owns a shard", owner)):
        is_within_budget = (
            cost.cpu_share <= CPU_BUDGET
            and cost.rss_mb <= MEMORY_BUDGET_MB
            and cost.bytes_per_s <= BYTES_BUDGET_PER_S
        )
        lines.append(
            f"| {name} | {100 * cost.cpu_share:.2f}% of 1.5% "
            f"({verdict(cost.cpu_share, CPU_BUDGET)}) | {cost.rss_mb:.0f} of 128 "
            f"({verdict(cost.rss_mb, MEMORY_BUDGET_MB)}) | "
            f"{cost.bytes_per_s / 1000:.1f} of 14 "
            f"({verdict(cost.bytes_per_s, BYTES_BUDGET_PER_S)}) | "
            f"{'pass' if is_within_budget else 'MISS'} |"
        )
    lines.append(
        f"| entry, {agents_per_region:.0f} agents, no calls | "
        f"{100 * (entry_cpu + routing_cpu):.1f}% (a node's budget does not apply) | "
        f"{entry_rss:.0f} | {entry_bytes / 1000:.0f} | "
        f"{verdict(entry_cpu + routing_cpu, 0.5)} of half a core |"
    )
    per_call_ms = 1000 * slopes.line("call_entry", "entry_cpu_share").slope
    lines += [
        "",
        f"A call costs an entry {per_call_ms:.2f} ms of processor time at these rates. "
        "Calls are the service's work and are not in the control budget; the cost of "
        "the entry grows in proportion to them. What a call costs an agent is measured "
        "by misc/bench_service.py.",
    ]
    return lines


def store_table(slopes: Slopes) -> list[str]:
    """Return the store's calls by kind, normally and in the worst minute."""
    per_shard = slopes.line("shard_writes", "writes_per_s").slope
    idle = per_shard * N_SHARDS
    busy = float(slopes.load["store_writes_per_s"])
    cap = MAX_COMMITS_PER_SHARD_S * N_SHARDS
    leases = N_ENTRIES / (LEASE_S / 3)
    config_writes = 2 * CHANGES_PER_DAY / DAY_S
    rereads = N_ENTRIES / REREAD_S
    watches = 2 * N_ENTRIES
    moved = N_SHARDS / N_PLACES
    rows = [
        (
            "write: commits of shards",
            f"{idle:.0f} idle, {busy:.0f} at 94 starts/s",
            f"{cap:.0f}: every shard at its limit of 4 a second",
        ),
        ("write: leases of entries", f"{leases:.1f}", f"{2 * leases:.1f}"),
        (
            "write: configuration",
            f"{config_writes:.2f}",
            "1: concurrent changes by operators",
        ),
        (
            "read: configuration, repeated every 4 s",
            f"{rereads:.1f}",
            f"{2 * rereads:.1f}",
        ),
        (
            "read: heads at takeover",
            "0",
            f"{moved * READS_PER_TAKEOVER / OWNER_SILENCE_S:.0f}: a place is lost",
        ),
        (
            "read: entries by agents without one",
            "0",
            f"{N_WORKERS / 5:.0f}: all entries are replaced at once",
        ),
        ("open watches", f"{watches}", f"{watches}"),
    ]
    lines = [
        "| call | normal, per second | worst minute, per second |",
        "| --- | --- | --- |",
        *(f"| {kind} | {calm} | {worst} |" for kind, calm, worst in rows),
        "",
        f"Writes at the peak: {busy + leases + config_writes:.0f} a second of "
        f"{WRITES_BUDGET_PER_S:.0f} ({verdict(busy + leases, WRITES_BUDGET_PER_S)}); "
        f"in the worst minute {cap + 2 * leases + 1:.0f} "
        f"({verdict(cap + 2 * leases + 1, WRITES_BUDGET_PER_S)}). The commit "
        "limit of a shard, not the number of starts, bounds the writes: after an "
        "outage the backlog is processed in larger commits.",
    ]
    return lines


def limiting_budgets(slopes: Slopes) -> list[str]:
    """Return which budget limits the fleet size first, and at what size."""
    without_starts = agent_cost(slopes, 0.0).cpu_share
    per_start_s = slopes.line("owner_starts", "agents_cpu_share").slope
    starts_per_owner_s = max(0.0, (CPU_BUDGET - without_starts) / per_start_s)
    max_starts_per_s = starts_per_owner_s * N_SHARDS
    cap = MAX_COMMITS_PER_SHARD_S
    most_shards = (WRITES_BUDGET_PER_S - 10) / cap
    entry = slopes.line("entry_agents", "cpu_share")
    most_agents = (0.5 - entry.base) / entry.slope
    n_workers = N_WORKERS * max_starts_per_s / STARTS_PER_S
    return [
        f"- Owner's processor: an agent can decide {starts_per_owner_s:.2f} starts a "
        f"second within 1.5% of a core, so {N_SHARDS} shards support "
        f"{max_starts_per_s:.0f} a second, the peak of a fleet of {n_workers:.0f} "
        "workers.",
        f"- Store's writes: at {cap:.0f} commits per shard and second, "
        f"{most_shards:.0f} shards use {WRITES_BUDGET_PER_S:.0f} writes.",
        f"- Entry's processor: half a core supports {most_agents:.0f} agents.",
        "",
        "The owner's processor is the first limit. The cost of a start was measured "
        "over whole agents that own shards and also run the tasks, so the worker "
        "agent's half is counted against the owner here; the two were not measured "
        "separately. "
        f"Remedies at this limit: more shards, up to the {most_shards:.0f} that the "
        "store's writes allow; beyond that a longer `min_commit_interval_s`, which "
        "reduces writes at the cost of a longer wait for each start, and so allows "
        "more shards.",
    ]


def recovery_costs() -> list[str]:
    """Return the cost of recovering from failures."""
    rows = []
    for name, n_workers, frequency in (
        ("a worker", 1, "14 a day, 110 restarts"),
        ("a rack of three workers", 3, "monthly"),
        ("a place", N_WORKERS // N_PLACES, "yearly"),
    ):
        n_shards = N_SHARDS * n_workers / N_WORKERS
        n_tasks = N_TASKS * n_workers / N_WORKERS
        rows.append(
            f"| {name} ({frequency}) | {n_shards:.1f} | {n_tasks:.0f} | "
            f"{n_shards * READS_PER_TAKEOVER:.0f} reads, {n_shards:.1f} writes | "
            f"{SILENCE_S + 1 + OWNER_SILENCE_S:.1f} s for shards, "
            f"{TASK_WAIT_S:.0f} s for tasks |"
        )
    return [
        "| what fails | shards that move | tasks to start again | store | time |",
        "| --- | --- | --- | --- | --- |",
        *rows,
        "",
        "Shards: the entries receive nothing from a lost agent (3 s), wait a second "
        "for the set of agents to become stable, and the nominee watches the head "
        "(3.5 s). Tasks: the owner waits for the horizon, two worker leases and the "
        "margin before it starts them elsewhere; a loss declared by an operator ends "
        "that wait.",
        "",
        "Two regions disconnected for an hour: nothing crosses regions, so no "
        "message and no store call changes. The region without the store keeps its "
        f"running tasks for {HORIZON_S:.0f} s (the horizon) and continues to "
        "serve calls; tasks are checkpointed and stopped at the horizon, and start "
        "again when the store is back.",
    ]


def render(slopes: Slopes) -> str:
    """Return the page."""
    parts = [
        "# Capacity at the design size",
        "",
        "Written by `make capacity` from docs/measurements; do not edit.",
        "",
        f"The size: {N_WORKERS} workers in {N_REGIONS} regions with {N_PLACES} places, "
        f"{N_TASKS:,} running tasks, {STARTS_PER_S:.0f} starts a second at the peak, "
        f"{JOBS_PER_DAY:,} jobs and {CHANGES_PER_DAY:,} configuration changes a day, "
        f"{N_TEAMS} teams. Also assumed: {N_ENTRIES} entries (four a region), "
        f"{N_SHARDS} shards in all (32 a region), a configuration of "
        f"{CONFIG_BYTES / 1000:.0f} KB.",
        "",
        "## Roles compared with their budgets",
        "",
        *role_table(slopes),
        "",
        "| role | state | messages in and out | mechanism |",
        "| --- | --- | --- | --- |",
        "| agent | its worker's attempts, its runners' calls | a status per second to "
        "each entry; a renewal every 5 s for each shard with tasks on this worker | "
        "one process tracks one worker; control grows with the worker's own tasks |",
        "| shard owner | the shard's jobs, 1.5 starts a second | a reservation, a "
        "start command and a report with their answers for each start | shards "
        "spread over all agents; group commit |",
        "| entry | the last status of each agent of its region | the statuses; "
        "messages routed between owners and agents | every entry knows all agents, "
        "none asks another |",
        "| store | heads, chunks, configuration, entries | see below | writes follow "
        "the shards; only entries watch |",
        "| operator | nothing | one request per command | any entry answers |",
        "",
        "## The store's calls",
        "",
        *store_table(slopes),
        "",
        "## Which budget limits the fleet first",
        "",
        *limiting_budgets(slopes),
        "",
        "## Failures",
        "",
        *recovery_costs(),
        "",
        "## The minute at 94 starts a second",
        "",
        "`make load` on one machine, real processes and stand-ins:",
        "",
        *(f"- {key}: {value}" for key, value in slopes.load.items()),
        "",
        "## What was measured",
        "",
        "`make slopes`: processor time and memory of one process under stand-in peers, "
        "on a machine that did other work at the same time.",
        "",
        *measured_tables(slopes),
    ]
    return "\n".join(parts).rstrip() + "\n"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args()
    slopes = Slopes(json.loads(SLOPES.read_text()), json.loads(LOAD.read_text()))
    page = render(slopes)
    if not options.check:
        PAGE.write_text(page)
        print(f"wrote {PAGE.relative_to(ROOT)}")
        return 0
    if PAGE.exists() and PAGE.read_text() == page:
        print("docs/CAPACITY.md matches the measurements")
        return 0
    print("docs/CAPACITY.md differs; run make capacity", file=sys.stderr)
    return 1


if __name__ == "__main__":
    raise SystemExit(main())
