"""Writes and parses job files, which a plan prints and ``almondspan submit`` reads.

A file contains either the records of an order, with the stages that each record
passes through, or single jobs. Every record becomes one job whose id is derived from
the order and the record, so submitting a file twice creates no duplicate jobs.
"""

import base64
import binascii
import re
import tomllib
from collections.abc import Mapping
from dataclasses import replace
from datetime import UTC, datetime
from typing import Any, Final

from almondspan.canonical import canonical_toml
from almondspan.faults import FileFault, FileFaults
from almondspan_decisions.fleet_rules import (
    DEADLINE_RULE,
    NAME_PATTERN,
    is_deadline,
)
from almondspan_decisions.ids import JobId, OrderName, TaskClass, TeamName
from almondspan_decisions.orders import RECORD_PATTERN, RECORD_RULE, record_job_id
from almondspan_decisions.shapes import Shape
from almondspan_decisions.tasks import JobSpec, StageSpec

__all__ = ["jobs_text", "order_text", "parse_jobs"]

MAX_RUN_S: Final = 1e8
"""The longest declared run time, in seconds."""

JOB_ID_PATTERN: Final = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:@/-]{0,199}")
_JOB_ID_RULE: Final = "1 to 200 of letters, digits, '.', '_', ':', '@', '/', '-'"
_NAME_RULE: Final = "1 to 64 of a-z, 0-9, '.', '_', '-'"


def order_text(jobs: tuple[JobSpec, ...]) -> str:
    """Return the file of an order's jobs, which differ only in their records."""
    first = jobs[0]
    document: dict[str, Any] = {
        "order": {"name": str(first.order_name), **_job_fields(first)},
        "stages": [_stage_table(stage) for stage in first.stages],
        "records": [
            {"name": job.record_name, **_payload_field(job.stages[0].payload)}
            for job in sorted(jobs, key=lambda job: job.record_name)
        ],
    }
    return canonical_toml(document)


def jobs_text(jobs: tuple[JobSpec, ...]) -> str:
    """Return the file of single jobs, sorted by id."""
    document = {
        "jobs": [
            {
                "job_id": str(job.job_id),
                **_job_fields(job),
                "stages": [
                    {**_stage_table(stage), **_payload_field(stage.payload)}
                    for stage in job.stages
                ],
            }
            for job in sorted(jobs, key=lambda job: job.job_id)
        ]
    }
    return canonical_toml(document)


def _job_fields(job: JobSpec) -> dict[str, Any]:
    fields: dict[str, Any] = {"team": str(job.team)}
    if job.deadline_unix_s > 0:
        fields["deadline"] = datetime.fromtimestamp(job.deadline_unix_s, UTC)
    fields["urgent"] = job.urgent
    fields["max_attempts"] = job.max_attempts
    return fields


def _stage_table(stage: StageSpec) -> dict[str, Any]:
    return {
        "task_class": str(stage.task_class),
        "cpu_millicores": stage.shape.cpu_millicores,
        "memory_mb": stage.shape.memory_mb,
        "n_accelerators": stage.shape.n_accelerators,
        "declared_run_s": stage.declared_run_s,
        "idempotent": stage.idempotent,
        "checkpointable": stage.checkpointable,
    }


def _payload_field(payload: bytes) -> dict[str, str]:
    if not payload:
        return {}
    try:
        text = payload.decode()
    except UnicodeDecodeError:
        return {"payload_base64": base64.b64encode(payload).decode()}
    if text.isprintable():
        return {"payload": text}
    return {"payload_base64": base64.b64encode(payload).decode()}


def parse_jobs(text: str) -> tuple[JobSpec, ...] | FileFaults:
    """Parse the text of a job file; return its jobs, or all its errors."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return FileFaults((FileFault("(text)", str(error), "TOML"),))
    except RecursionError:
        return FileFaults((FileFault("(text)", "nested too deeply", "tables"),))
    reader = _Reader()
    if "order" in document:
        jobs = reader.read_order(document)
    else:
        jobs = reader.read_jobs(document)
    if not jobs and not reader.faults:
        reader.fault("(text)", "no job", "[order] with [[records]], or [[jobs]]")
    if reader.faults:
        return FileFaults(tuple(reader.faults))
    return jobs


class _Reader:
    """Converts TOML tables to jobs and collects the validation errors."""

    def __init__(self) -> None:
        self.faults: list[FileFault] = []

    def fault(self, key: str, value: object, allowed: str) -> None:
        self.faults.append(FileFault(key, _format_value(value), allowed))

    def read_order(self, document: Mapping[str, Any]) -> tuple[JobSpec, ...]:
        self._check_keys("", document, {"order", "stages", "records"})
        table = self._table("order", document.get("order"))
        name = self._name("order.name", table.get("name"))
        fields = self._read_job_fields("order", table, {"name"})
        stages = self._read_stages("stages", document.get("stages"), set())
        jobs = []
        seen: set[str] = set()
        for index, record in enumerate(self._tables("records", document)):
            label = f"records.{index}"
            self._check_keys(f"{label}.", record, {"name", "payload", "payload_base64"})
            record_name = record.get("name")
            if not isinstance(record_name, str) or not RECORD_PATTERN.fullmatch(
                record_name
            ):
                self.fault(f"{label}.name", record_name, RECORD_RULE)
                continue
            if record_name in seen:
                self.fault(f"{label}.name", record_name, "a unique name")
            seen.add(record_name)
            payload = self._payload(label, record)
            order_name = OrderName(name)
            jobs.append(
                JobSpec(
                    job_id=record_job_id(order_name, record_name),
                    stages=tuple(replace(stage, payload=payload) for stage in stages),
                    order_name=order_name,
                    record_name=record_name,
                    **fields,
                )
            )
        return tuple(jobs)

    def read_jobs(self, document: Mapping[str, Any]) -> tuple[JobSpec, ...]:
        self._check_keys("", document, {"jobs"})
        jobs = []
        seen: set[str] = set()
        for index, table in enumerate(self._tables("jobs", document)):
            job_id = table.get("job_id")
            label = f"jobs.{job_id if isinstance(job_id, str) and job_id else index}"
            if not _is_job_id(job_id):
                self.fault(f"{label}.job_id", job_id, _JOB_ID_RULE)
            elif job_id in seen:
                self.fault(f"{label}.job_id", job_id, "a unique id")
            seen.add(str(job_id))
            fields = self._read_job_fields(label, table, {"job_id", "stages"})
            stages = self._read_stages(
                f"{label}.stages", table.get("stages"), {"payload", "payload_base64"}
            )
            jobs.append(JobSpec(job_id=JobId(str(job_id)), stages=stages, **fields))
        return tuple(jobs)

    def _read_job_fields(
        self, label: str, table: Mapping[str, Any], others: set[str]
    ) -> dict[str, Any]:
        known = {"team", "deadline", "urgent", "max_attempts"} | others
        self._check_keys(f"{label}.", table, known)
        team = self._name(f"{label}.team", table.get("team"))
        deadline = table.get("deadline")
        deadline_unix_s = 0.0
        if is_deadline(deadline):
            assert isinstance(deadline, datetime)
            deadline_unix_s = deadline.timestamp()
        elif deadline is not None:
            self.fault(f"{label}.deadline", deadline, DEADLINE_RULE)
        return {
            "team": TeamName(team),
            "deadline_unix_s": deadline_unix_s,
            "urgent": self._flag(f"{label}.urgent", table.get("urgent", False)),
            "max_attempts": self._count(
                f"{label}.max_attempts", table.get("max_attempts", 4), 1, 100
            ),
        }

    def _read_stages(
        self, label: str, value: Any, others: set[str]
    ) -> tuple[StageSpec, ...]:
        if not isinstance(value, list) or not value:
            self.fault(label, value, f"at least one table [[{label}]]")
            return ()
        return tuple(
            self._read_stage(f"{label}.{index}", table, others)
            for index, table in enumerate(value)
        )

    def _read_stage(self, label: str, value: Any, others: set[str]) -> StageSpec:
        table = self._table(label, value)
        known = {"task_class", "cpu_millicores", "memory_mb", "n_accelerators"}
        known |= {"declared_run_s", "idempotent", "checkpointable"} | others
        self._check_keys(f"{label}.", table, known)
        shape = Shape(
            self._count(f"{label}.cpu_millicores", table.get("cpu_millicores"), 1),
            self._count(f"{label}.memory_mb", table.get("memory_mb"), 1),
            self._count(f"{label}.n_accelerators", table.get("n_accelerators", 0), 0),
        )
        return StageSpec(
            task_class=TaskClass(
                self._name(f"{label}.task_class", table.get("task_class"))
            ),
            shape=shape,
            declared_run_s=self._seconds(
                f"{label}.declared_run_s", table.get("declared_run_s")
            ),
            payload=self._payload(label, table),
            idempotent=self._flag(f"{label}.idempotent", table.get("idempotent", True)),
            checkpointable=self._flag(
                f"{label}.checkpointable", table.get("checkpointable", True)
            ),
        )

    def _payload(self, label: str, table: Mapping[str, Any]) -> bytes:
        text = table.get("payload", "")
        encoded = table.get("payload_base64", "")
        if not isinstance(text, str):
            self.fault(f"{label}.payload", text, "text")
            return b""
        if not encoded:
            return text.encode()
        try:
            return base64.b64decode(encoded, validate=True)
        except (binascii.Error, TypeError, ValueError):
            self.fault(f"{label}.payload_base64", encoded, "bytes as base64")
            return b""

    def _check_keys(
        self, prefix: str, table: Mapping[str, Any], known: set[str]
    ) -> None:
        for key in table:
            if key not in known:
                allowed = ", ".join(sorted(known))
                self.faults.append(
                    FileFault(f"{prefix}{key}", "(unknown key)", allowed)
                )

    def _table(self, label: str, value: Any) -> Mapping[str, Any]:
        if isinstance(value, dict):
            return value
        self.fault(label, value, f"a table [{label}]")
        return {}

    def _tables(self, key: str, document: Mapping[str, Any]) -> list[dict[str, Any]]:
        value = document.get(key, [])
        if isinstance(value, list) and all(isinstance(item, dict) for item in value):
            return value
        self.fault(key, value, f"tables [[{key}]]")
        return []

    def _name(self, label: str, value: Any) -> str:
        if isinstance(value, str) and NAME_PATTERN.fullmatch(value):
            return value
        self.fault(label, value, _NAME_RULE)
        return ""

    def _seconds(self, label: str, value: Any) -> float:
        if isinstance(value, int | float) and not isinstance(value, bool):
            if 0 < value <= MAX_RUN_S:
                return float(value)
        self.fault(label, value, "seconds, above 0 and at most 1e8")
        return 1.0

    def _flag(self, label: str, value: Any) -> bool:
        if isinstance(value, bool):
            return value
        self.fault(label, value, "true or false")
        return False

    def _count(self, label: str, value: Any, minimum: int, maximum: int = 2**31) -> int:
        is_count = isinstance(value, int) and not isinstance(value, bool)
        if is_count and minimum <= value <= maximum:
            return int(value)
        self.fault(label, value, f"a whole number from {minimum} to {maximum}")
        return minimum


def _is_job_id(value: Any) -> bool:
    return isinstance(value, str) and JOB_ID_PATTERN.fullmatch(value) is not None


def _format_value(value: object) -> str:
    if value is None:
        return "(missing)"
    text = repr(value)
    return text if len(text) <= 80 else text[:80] + "..."
