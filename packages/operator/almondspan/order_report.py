"""Reports the progress and the completeness of a hand-back order.

The report counts the records by the state of their jobs; compares them with the
records that the order declares, by their number and the digest of their names;
forecasts the end from the rate of recent deliveries; and lists late records.

A record is delivered when its job has ended with the outcome done. The job's id is
derived from the order and the record, so each record has one job; a record that
occurs twice in the ledger is reported as duplicated, not silently merged.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Final

from almondspan.answers import Job, Ledger
from almondspan_decisions.fleet_document import records_digest
from almondspan_decisions.outcomes import OutcomeKind

__all__ = ["Forecast", "OrderReport", "RecordNote", "Verdict", "make_report"]

MIN_DELIVERIES: Final = 5
"""The least number of deliveries from which a forecast is made."""

RECENT_DELIVERIES_SHARE: Final = 0.5
"""The share of deliveries, the most recent ones, that determine the rate."""


class Verdict(Enum):
    """The state of an order."""

    COMPLETE = "complete"
    """Every ordered record was delivered exactly once."""

    COMPLETE_LATE = "complete_late"
    """Complete, but some records were delivered after the deadline."""

    ON_TIME = "on_time"
    """Records are outstanding; the forecast end is before the deadline."""

    AT_RISK = "at_risk"
    """The deadline has passed, or the forecast end is after it."""

    INCOMPLETE = "not_whole"
    """No job is outstanding, but not exactly the ordered records were delivered."""

    NO_FORECAST = "no_forecast"
    """Too few deliveries for a forecast; the deadline has not passed."""

    UNPROVEN = "unproven"
    """Some shards did not answer, or the order does not declare its records."""


@dataclass(frozen=True, slots=True)
class RecordNote:
    """A record that has a problem or is waiting, with its state and the reason."""

    record_name: str
    state: str
    reason: str


@dataclass(frozen=True, slots=True)
class Forecast:
    """The delivery rate and the time when the last record is expected."""

    records_per_s: float
    ends_unix_s: float


@dataclass(frozen=True, slots=True)
class OrderReport:
    """The completeness and the progress of an order.

    ``records_match`` is whether the ledger contains exactly the ordered records, or
    None if the order does not declare its records. ``n_unseen`` counts ordered
    records that may be on a shard that did not answer, ``n_missing`` those that are
    on no shard.
    """

    order_name: str
    team: str
    verdict: Verdict
    deadline_unix_s: float
    now_unix_s: float
    n_ordered: int
    n_delivered: int
    n_running: int
    n_queued: int
    n_ended_otherwise: int
    n_missing: int
    n_unseen: int
    n_duplicated: int
    n_delivered_late: int
    n_attempts: int
    n_evictions: int
    n_shards_missing: int
    records_match: bool | None
    forecast: Forecast | None
    by_stage: tuple[tuple[str, int], ...]
    problems: tuple[RecordNote, ...]
    waiting: tuple[RecordNote, ...]


@dataclass(frozen=True, slots=True)
class _Counts:
    n_known: int
    n_delivered: int
    n_pending: int
    n_missing: int
    n_duplicated: int
    n_delivered_late: int
    records_match: bool | None


def make_report(ledger: Ledger, ordered: Iterable[str] = ()) -> OrderReport:
    """Return the report of a ledger.

    The names in `ordered` are needed only to list missing records by name; their
    number, and the proof that none is missing, follow from the order's own digest.
    """
    order = ledger.order
    names = frozenset(ordered)
    jobs = {job.record_name: job for job in ledger.jobs}
    copies = Counter(job.record_name for job in ledger.jobs)
    delivered = [job for job in jobs.values() if _is_delivered(job)]
    pending = [job for job in jobs.values() if job.state in ("queued", "running")]
    n_ordered = max(order.n_records, len(names))
    forecast = _forecast(delivered, len(pending), ledger.now_unix_s)
    counts = _Counts(
        n_known=len(jobs),
        n_delivered=len(delivered),
        n_pending=len(pending),
        n_missing=0 if ledger.n_shards_missing else max(0, n_ordered - len(jobs)),
        n_duplicated=sum(n > 1 for n in copies.values()),
        n_delivered_late=sum(
            job.ended_unix_s > order.deadline_unix_s for job in delivered
        ),
        records_match=_records_match(ledger, jobs),
    )
    return OrderReport(
        order_name=order.name,
        team=order.team,
        verdict=_verdict(ledger, counts, forecast),
        deadline_unix_s=order.deadline_unix_s,
        now_unix_s=ledger.now_unix_s,
        n_ordered=n_ordered,
        n_delivered=counts.n_delivered,
        n_running=sum(job.state == "running" for job in pending),
        n_queued=sum(job.state == "queued" for job in pending),
        n_ended_otherwise=len(jobs) - len(delivered) - len(pending),
        n_missing=counts.n_missing,
        n_unseen=max(0, n_ordered - len(jobs)) - counts.n_missing,
        n_duplicated=counts.n_duplicated,
        n_delivered_late=counts.n_delivered_late,
        n_attempts=sum(job.n_attempts for job in jobs.values()),
        n_evictions=sum(job.n_evictions for job in jobs.values()),
        n_shards_missing=ledger.n_shards_missing,
        records_match=counts.records_match,
        forecast=forecast,
        by_stage=_by_stage(ledger, pending),
        problems=_problems(ledger, jobs, copies, names),
        waiting=_waiting(pending),
    )


def _is_delivered(job: Job) -> bool:
    return job.outcome is not None and job.outcome.kind is OutcomeKind.DONE


def _records_match(ledger: Ledger, jobs: dict[str, Job]) -> bool | None:
    if not ledger.order.records_sha256:
        return None
    return records_digest(jobs) == ledger.order.records_sha256


def _forecast(
    delivered: list[Job], n_pending: int, now_unix_s: float
) -> Forecast | None:
    if len(delivered) < MIN_DELIVERIES:
        return None
    times = sorted(job.ended_unix_s for job in delivered)
    recent = times[-max(MIN_DELIVERIES, int(len(times) * RECENT_DELIVERIES_SHARE)) :]
    # Includes the time since the last delivery, so that the rate falls while
    # deliveries have stopped.
    span_s = max(now_unix_s, recent[-1]) - recent[0]
    if span_s <= 0:
        return None
    records_per_s = (len(recent) - 1) / span_s
    if records_per_s <= 0:
        return None
    return Forecast(records_per_s, now_unix_s + n_pending / records_per_s)


def _verdict(ledger: Ledger, counts: _Counts, forecast: Forecast | None) -> Verdict:
    if ledger.n_shards_missing:
        return Verdict.UNPROVEN
    if counts.n_pending == 0:
        return _end_verdict(counts)
    deadline_unix_s = ledger.order.deadline_unix_s
    if ledger.now_unix_s > deadline_unix_s:
        return Verdict.AT_RISK
    if forecast is None:
        return Verdict.NO_FORECAST
    if forecast.ends_unix_s > deadline_unix_s:
        return Verdict.AT_RISK
    return Verdict.ON_TIME


def _end_verdict(counts: _Counts) -> Verdict:
    is_delivered = 0 < counts.n_known == counts.n_delivered
    if not is_delivered or counts.n_missing or counts.n_duplicated:
        return Verdict.INCOMPLETE
    if counts.records_match is None:
        return Verdict.UNPROVEN
    if not counts.records_match:
        return Verdict.INCOMPLETE
    return Verdict.COMPLETE_LATE if counts.n_delivered_late else Verdict.COMPLETE


def _problems(
    ledger: Ledger,
    jobs: dict[str, Job],
    copies: Counter[str],
    ordered: frozenset[str],
) -> tuple[RecordNote, ...]:
    notes = []
    for name in sorted(jobs):
        job = jobs[name]
        if copies[name] > 1:
            notes.append(RecordNote(name, "duplicated", f"{copies[name]} jobs"))
        if ordered and name not in ordered:
            notes.append(RecordNote(name, "not_ordered", "not in the records file"))
        if job.outcome is not None and not _is_delivered(job):
            reason = job.outcome.reason or "no reason was given"
            if job.outcome.kind is OutcomeKind.CANCELLED and job.outcome.may_have_run:
                reason += " (it may have run)"
            notes.append(RecordNote(name, job.outcome.kind.value, reason))
        elif job.ended_unix_s > ledger.order.deadline_unix_s:
            notes.append(RecordNote(name, "late", "delivered after the deadline"))
    unknown = ordered - jobs.keys() if not ledger.n_shards_missing else ()
    for name in sorted(unknown):
        notes.append(RecordNote(name, "missing", "was never submitted"))
    return tuple(notes)


def _by_stage(ledger: Ledger, pending: list[Job]) -> tuple[tuple[str, int], ...]:
    counts = Counter(job.stage_index for job in pending)
    return tuple(
        (stage, counts.get(index, 0)) for index, stage in enumerate(ledger.order.stages)
    )


def _waiting(pending: list[Job]) -> tuple[RecordNote, ...]:
    return tuple(
        RecordNote(job.record_name, job.state, job.waiting_reason)
        for job in sorted(pending, key=lambda job: job.record_name)
        if job.waiting_reason
    )
