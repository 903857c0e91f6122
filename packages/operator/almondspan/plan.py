"""Declares a fleet in Python and prints it as text for review.

A plan collects services, teams, task classes, hand-back orders with their records,
and single jobs. It prints three kinds of files in canonical TOML: the fleet's
configuration, the records of an order, and the single jobs. A plan sends nothing; the
files are submitted with the command line after review.

Example
-------
A plan in a file ``plan.py``::

    from datetime import UTC, datetime
    from almondspan import Plan

    plan = Plan()
    plan.service("clips", objective_latency_ms=150)
    plan.team("operators", quota_share=1.0, token_sha256="...", operator=True)
    plan.team("archive", quota_share=0.6, token_sha256="...")
    for name in ("validate", "cut", "transcribe", "deliver"):
        plan.task_class(name, cpu_millicores=1000, memory_mb=512)
    order = plan.order(
        "return-2026",
        team="archive",
        deadline=datetime(2026, 12, 20, 8, tzinfo=UTC),
        stages=("validate", "cut", "transcribe", "deliver"),
    )
    order.record("tape-0001", payload=b"s3://tapes/0001")
    plan.main()

``python plan.py config``, ``python plan.py order return-2026`` and
``python plan.py jobs`` print the texts.
"""

import sys
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from datetime import UTC, datetime

from almondspan.canonical import canonical_fleet
from almondspan.exit_codes import ExitCode
from almondspan.faults import FileFault, FileFaults
from almondspan.job_files import jobs_text, order_text, parse_jobs
from almondspan.texts import PLAN_USAGE
from almondspan_decisions.fleet import (
    FleetConfig,
    OrderConfig,
    PolicyConfig,
    ServiceConfig,
    TaskClassConfig,
    TeamConfig,
)
from almondspan_decisions.fleet_document import (
    ConfigFaults,
    parse_fleet,
    records_digest,
)
from almondspan_decisions.ids import (
    JobId,
    OrderName,
    ServiceName,
    TaskClass,
    TeamName,
)
from almondspan_decisions.orders import record_job_id
from almondspan_decisions.policy_names import known_policies
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec

__all__ = ["Order", "Plan"]


@dataclass
class Order:
    """A hand-back order in a plan; created by `Plan.order`."""

    name: str
    team: str
    deadline: datetime
    stages: tuple[str, ...]
    urgent: bool = False
    max_attempts: int = 4
    records: list[tuple[str, bytes]] = field(default_factory=list)

    def record(self, name: str, payload: bytes = b"") -> None:
        """Add a record; every stage receives its `payload`."""
        self.records.append((name, payload))

    def config(self) -> OrderConfig:
        """Return the terms of the order with the digest of its records."""
        names = [name for name, _ in self.records]
        return OrderConfig(
            name=OrderName(self.name),
            team=TeamName(self.team),
            deadline_unix_s=_unix_s(self.deadline),
            stages=tuple(map(TaskClass, self.stages)),
            n_records=len(names),
            records_sha256=records_digest(names) if names else "",
        )


class Plan:
    """The declarations of a fleet, in any order."""

    def __init__(self) -> None:
        self._services: list[ServiceConfig] = []
        self._teams: list[TeamConfig] = []
        self._task_classes: dict[str, TaskClassConfig] = {}
        self._faults: list[FileFault] = []
        self._orders: list[Order] = []
        self._jobs: list[tuple[JobSpec, tuple[str, ...], bytes]] = []
        self._policies = PolicyConfig()

    def service(
        self,
        name: str,
        objective_latency_ms: float,
        objective_share: float = 0.99,
        default_timeout_ms: float = 2000.0,
    ) -> None:
        """Declare a service.

        Its objective is that `objective_share` of its calls end within
        `objective_latency_ms`.
        """
        self._services.append(
            ServiceConfig(
                ServiceName(name),
                objective_latency_ms,
                objective_share,
                default_timeout_ms,
            )
        )

    def team(
        self,
        name: str,
        quota_share: float,
        token_sha256: str,
        operator: bool = False,
        max_requests_per_s: float = 0.0,
    ) -> None:
        """Declare a team; its quota is a dominant share of the fleet's resources."""
        self._teams.append(
            TeamConfig(
                TeamName(name), quota_share, token_sha256, operator, max_requests_per_s
            )
        )

    def task_class(
        self,
        name: str,
        cpu_millicores: int,
        memory_mb: int,
        n_accelerators: int = 0,
        declared_run_s: float = 60.0,
        idempotent: bool = True,
        checkpointable: bool = True,
    ) -> None:
        """Declare a task class with the resources that each of its tasks needs."""
        if name in self._task_classes:
            allowed = "a class that is declared once"
            self._faults.append(FileFault(f"task_classes.{name}", name, allowed))
        self._task_classes[name] = TaskClassConfig(
            TaskClass(name),
            cpu_millicores,
            memory_mb,
            n_accelerators,
            declared_run_s,
            idempotent,
            checkpointable,
        )

    def order(
        self,
        name: str,
        team: str,
        deadline: datetime,
        stages: Sequence[str],
        urgent: bool = False,
        max_attempts: int = 4,
    ) -> Order:
        """Declare a hand-back order; add its records to the returned object.

        `deadline` needs a time zone. `stages` are task classes, run in order.
        """
        self._check_time_zone(f"orders.{name}.deadline", deadline)
        order = Order(name, team, deadline, tuple(stages), urgent, max_attempts)
        self._orders.append(order)
        return order

    def job(
        self,
        job_id: str,
        team: str,
        stages: Sequence[str],
        payload: bytes = b"",
        urgent: bool = False,
        deadline: datetime | None = None,
        max_attempts: int = 4,
    ) -> None:
        """Declare a single job; `stages` are task classes, run in order."""
        if deadline is not None:
            self._check_time_zone(f"jobs.{job_id}.deadline", deadline)
        spec = JobSpec(
            job_id=JobId(job_id),
            team=TeamName(team),
            stages=(),
            urgent=urgent,
            deadline_unix_s=_unix_s(deadline) if deadline is not None else 0.0,
            max_attempts=max_attempts,
        )
        self._jobs.append((spec, tuple(stages), payload))

    def policies(
        self,
        queue: str = "urgent_first",
        placement: str = "least_loaded",
        routing: str = "three_choices",
        ladder: str = "ladder",
    ) -> None:
        """Choose the policies by their registry names.

        `ladder` is the policy that escalates from throttling to evicting tasks.
        """
        self._policies = PolicyConfig(queue, placement, routing, ladder)

    def config(self) -> FleetConfig:
        """Return the configuration as declared, without validation."""
        return FleetConfig(
            services=tuple(self._services),
            teams=tuple(self._teams),
            task_classes=tuple(self._task_classes.values()),
            orders=tuple(order.config() for order in self._orders),
            policies=self._policies,
        )

    def config_text(self) -> str | FileFaults:
        """Return the canonical configuration, or all its errors."""
        if self._faults:
            return FileFaults(tuple(self._faults))
        parsed = parse_fleet(canonical_fleet(self.config()), policies=known_policies())
        if isinstance(parsed, ConfigFaults):
            return _to_file_faults(parsed)
        return canonical_fleet(parsed)

    def order_jobs(self, name: str) -> tuple[JobSpec, ...] | FileFaults:
        """Return the jobs of an order's records, or all their errors."""
        if self._faults:
            return FileFaults(tuple(self._faults))
        orders = [order for order in self._orders if order.name == name]
        if len(orders) != 1:
            known = ", ".join(sorted(order.name for order in self._orders))
            allowed = f"an order that is declared once: {known}"
            return FileFaults((FileFault("order", name, allowed),))
        order = orders[0]
        stages = self._stages(f"orders.{name}.stages", order.stages)
        if isinstance(stages, FileFaults):
            return stages
        if not order.records:
            return FileFaults((FileFault(f"orders.{name}", "(no record)", "records"),))
        jobs = tuple(
            JobSpec(
                job_id=record_job_id(OrderName(name), record_name),
                team=TeamName(order.team),
                stages=_with_payload(stages, payload),
                urgent=order.urgent,
                deadline_unix_s=_unix_s(order.deadline),
                max_attempts=order.max_attempts,
                order_name=OrderName(name),
                record_name=record_name,
            )
            for record_name, payload in order.records
        )
        return parse_jobs(order_text(jobs))

    def order_text(self, name: str) -> str | FileFaults:
        """Return the canonical file of an order's records, or all its errors."""
        jobs = self.order_jobs(name)
        return jobs if isinstance(jobs, FileFaults) else order_text(jobs)

    def jobs_text(self) -> str | FileFaults:
        """Return the canonical file of the single jobs, or all its errors."""
        jobs = []
        faults = list(self._faults)
        for spec, names, payload in self._jobs:
            stages = self._stages(f"jobs.{spec.job_id}.stages", names)
            if isinstance(stages, FileFaults):
                faults += stages.faults
                continue
            jobs.append(replace(spec, stages=_with_payload(stages, payload)))
        if faults:
            return FileFaults(tuple(faults))
        text = jobs_text(tuple(jobs))
        parsed = parse_jobs(text)
        return parsed if isinstance(parsed, FileFaults) else jobs_text(parsed)

    def main(self, arguments: Sequence[str] | None = None) -> None:
        """Print the file that the script's arguments select, and exit."""
        given = list(sys.argv[1:] if arguments is None else arguments)
        match given:
            case ["config"]:
                text = self.config_text()
            case ["order", name]:
                text = self.order_text(name)
            case ["jobs"]:
                text = self.jobs_text()
            case _:
                orders = ", ".join(sorted(order.name for order in self._orders))
                sys.stderr.write(PLAN_USAGE.format(orders=orders or "none"))
                sys.exit(ExitCode.USAGE)
        if isinstance(text, FileFaults):
            sys.stderr.write(f"{text}\n")
            sys.exit(ExitCode.USAGE)
        sys.stdout.write(text)
        sys.exit(ExitCode.DONE)

    def _check_time_zone(self, key: str, moment: datetime) -> None:
        if moment.tzinfo is None:
            allowed = (
                "a datetime with a time zone, as datetime(2026, 12, 20, tzinfo=UTC)"
            )
            self._faults.append(FileFault(key, str(moment), allowed))

    def _stages(
        self, label: str, names: Iterable[str]
    ) -> tuple[StageSpec, ...] | FileFaults:
        stages = []
        for name in names:
            declared = self._task_classes.get(name)
            if declared is None:
                known = ", ".join(sorted(self._task_classes))
                allowed = f"declared task classes: {known}"
                return FileFaults((FileFault(label, name, allowed),))
            stages.append(
                StageSpec(
                    task_class=declared.name,
                    shape=Shape(
                        declared.cpu_millicores,
                        declared.memory_mb,
                        declared.n_accelerators,
                    ),
                    declared_run_s=declared.declared_run_s,
                    idempotent=declared.idempotent,
                    checkpointable=declared.checkpointable,
                )
            )
        return tuple(stages)


def _unix_s(moment: datetime) -> float:
    if moment.tzinfo is None:
        # `_check_time_zone` has recorded the error; it is reported with the text.
        moment = moment.replace(tzinfo=UTC)
    return moment.timestamp()


def _with_payload(
    stages: tuple[StageSpec, ...], payload: bytes
) -> tuple[StageSpec, ...]:
    return tuple(replace(stage, payload=payload) for stage in stages)


def _to_file_faults(faults: ConfigFaults) -> FileFaults:
    return FileFaults(
        tuple(
            FileFault(fault.key, fault.value, fault.allowed) for fault in faults.faults
        )
    )
