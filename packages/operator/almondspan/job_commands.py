"""Commands for jobs and hand-back orders."""

import msgspec

from almondspan.answers import Job, Jobs, Ledger, SubmitResult, SubmitResults
from almondspan.client import AdminClient, NoAnswer, Refused, path_of
from almondspan.exit_codes import ExitCode
from almondspan.order_report import OrderReport, RecordNote, Verdict, make_report
from almondspan.results import Result, failure
from almondspan.tables import (
    format_duration,
    format_share,
    format_table,
    format_time,
)
from almondspan.texts import JOB_CONFLICT, JOB_HEADERS, MORE_NOTES, SUBMITTED
from almondspan_decisions.outcomes import OutcomeKind
from almondspan_decisions.tasks import JobSpec

__all__ = ["cancel_jobs", "job_status", "report_order", "submit_jobs"]

MAX_JOBS_PER_REQUEST = 200
MAX_REQUEST_BYTES = 400_000
MAX_SHOWN_NOTES = 20
MAX_SHOWN_NAMES = 3

OK_VERDICTS = frozenset({Verdict.COMPLETE, Verdict.ON_TIME, Verdict.NO_FORECAST})


async def submit_jobs(client: AdminClient, jobs: tuple[JobSpec, ...]) -> Result:
    """Submit jobs in batches; stop at the first batch that is not accepted."""
    results: list[SubmitResult] = []
    for batch in _batches(jobs):
        response = await client.post("/v1/jobs", {"jobs": batch}, SubmitResults)
        if isinstance(response, Refused | NoAnswer):
            failed = failure(response)
            done = _submitted(results)
            text = f"{done.text}\n{failed.text}" if results else failed.text
            return Result(failed.code, text, {**failed.data, **done.data})
        results += response.results
    return _submitted(results)


def _batches(jobs: tuple[JobSpec, ...]) -> list[list[msgspec.Raw]]:
    batches: list[list[msgspec.Raw]] = [[]]
    n_bytes = 0
    for job in jobs:
        body = msgspec.json.encode(_job_body(job))
        is_full = len(batches[-1]) >= MAX_JOBS_PER_REQUEST
        if is_full or (batches[-1] and n_bytes + len(body) > MAX_REQUEST_BYTES):
            batches.append([])
            n_bytes = 0
        batches[-1].append(msgspec.Raw(body))
        n_bytes += len(body)
    return batches


def _job_body(job: JobSpec) -> dict[str, object]:
    return {
        "job_id": job.job_id,
        "team": job.team,
        "stages": [
            {
                "task_class": stage.task_class,
                "cpu_millicores": stage.shape.cpu_millicores,
                "memory_mb": stage.shape.memory_mb,
                "n_accelerators": stage.shape.n_accelerators,
                "declared_run_s": stage.declared_run_s,
                "payload": stage.payload,
                "idempotent": stage.idempotent,
                "checkpointable": stage.checkpointable,
            }
            for stage in job.stages
        ],
        "urgent": job.urgent,
        "deadline_unix_s": job.deadline_unix_s,
        "max_attempts": job.max_attempts,
        "order_name": job.order_name,
        "record_name": job.record_name,
    }


def _submitted(results: list[SubmitResult]) -> Result:
    by_state: dict[str, list[SubmitResult]] = {}
    for result in results:
        by_state.setdefault(result.state, []).append(result)
    conflicts, refused = by_state.get("conflict", []), by_state.get("refused", [])
    lines = [
        SUBMITTED.format(
            n_accepted=len(by_state.get("accepted", [])),
            n_known=len(by_state.get("already_known", [])),
            n_conflicts=len(conflicts),
            n_refused=len(refused),
        )
    ]
    named = conflicts + refused
    lines += [
        f"  {rejected.job_id}: {rejected.reason}"
        for rejected in named[:MAX_SHOWN_NOTES]
    ]
    if len(named) > MAX_SHOWN_NOTES:
        lines.append(MORE_NOTES.format(n_more=len(named) - MAX_SHOWN_NOTES))
    if conflicts:
        lines.append(JOB_CONFLICT)
    code = ExitCode.DONE
    if refused:
        code = ExitCode.REFUSED
    if conflicts:
        code = ExitCode.CONFLICT
    return Result(code, "\n".join(lines), {"results": results})


async def job_status(
    client: AdminClient, team: str, job_ids: tuple[str, ...]
) -> Result:
    """Return the status of jobs."""
    return await _request_jobs(client, "/v1/jobs/status", team, job_ids)


async def cancel_jobs(
    client: AdminClient, team: str, job_ids: tuple[str, ...]
) -> Result:
    """Cancel jobs."""
    return await _request_jobs(client, "/v1/jobs/cancel", team, job_ids)


async def _request_jobs(
    client: AdminClient, path: str, team: str, job_ids: tuple[str, ...]
) -> Result:
    jobs: list[Job] = []
    for first in range(0, len(job_ids), MAX_JOBS_PER_REQUEST):
        body = {"job_ids": job_ids[first : first + MAX_JOBS_PER_REQUEST], "team": team}
        response = await client.post(path, body, Jobs)
        if isinstance(response, Refused | NoAnswer):
            return failure(response)
        jobs += response.jobs
    rows = [
        (
            job.job_id,
            job.state,
            f"{job.stage_index + 1}/{job.n_stages}" if job.n_stages else "-",
            job.n_attempts,
            job.n_evictions,
            _outcome_text(job),
        )
        for job in jobs
    ]
    is_ok = all(
        job.state != "absent"
        and (job.outcome is None or job.outcome.kind is OutcomeKind.DONE)
        for job in jobs
    )
    if path.endswith("cancel"):
        is_ok = all(job.state != "absent" for job in jobs)
    code = ExitCode.DONE if is_ok else ExitCode.ATTENTION
    return Result(code, format_table(JOB_HEADERS, rows), {"jobs": jobs})


def _outcome_text(job: Job) -> str:
    if job.outcome is None:
        return job.waiting_reason or "-"
    text = job.outcome.kind.value
    if job.outcome.reason:
        text += f": {job.outcome.reason}"
    if job.outcome.may_have_run and job.outcome.kind is OutcomeKind.CANCELLED:
        text += " (may have run)"
    return text


async def report_order(
    client: AdminClient, name: str, ordered: tuple[str, ...]
) -> Result:
    """Report on an order: proof, progress, forecast, and late records."""
    response = await client.get(path_of("orders", name), Ledger)
    if isinstance(response, Refused | NoAnswer):
        return failure(response)
    report = make_report(response, ordered)
    code = ExitCode.DONE if report.verdict in OK_VERDICTS else ExitCode.ATTENTION
    return Result(code, _report_text(report), report)


def _report_text(report: OrderReport) -> str:
    rows = [
        ("order", f"{report.order_name} of team {report.team}"),
        ("verdict", report.verdict.value),
        ("deadline", _deadline_text(report)),
        ("forecast", _forecast_text(report)),
        ("records", _records_text(report)),
        ("proof", _proof_text(report)),
        ("attempts", f"{report.n_attempts}, {report.n_evictions} evictions"),
        ("stages", ", ".join(f"{name} {n}" for name, n in report.by_stage)),
    ]
    lines = [f"{label + ':':<10} {text}" for label, text in rows]
    lines += _notes("problems", report.problems)
    lines += _waiting_lines(report.waiting)
    return "\n".join(lines)


def _deadline_text(report: OrderReport) -> str:
    left_s = report.deadline_unix_s - report.now_unix_s
    direction = "left" if left_s >= 0 else "past"
    distance = f"{format_duration(abs(left_s))} {direction}"
    return f"{format_time(report.deadline_unix_s)} ({distance})"


def _forecast_text(report: OrderReport) -> str:
    if report.forecast is None:
        return "too few deliveries for a forecast"
    if report.n_running + report.n_queued == 0:
        return "no records in progress"
    return (
        f"{format_time(report.forecast.ends_unix_s)} "
        f"at {report.forecast.records_per_s:.3g} records/s"
    )


def _records_text(report: OrderReport) -> str:
    share = report.n_delivered / report.n_ordered if report.n_ordered else 0.0
    unseen = f"{report.n_unseen} not seen, " if report.n_unseen else ""
    return (
        f"{report.n_ordered} ordered, {report.n_delivered} delivered "
        f"({format_share(share)}), {report.n_running} running, "
        f"{report.n_queued} queued, {report.n_ended_otherwise} ended otherwise, "
        f"{report.n_missing} missing, {unseen}{report.n_duplicated} duplicated, "
        f"{report.n_delivered_late} late"
    )


def _proof_text(report: OrderReport) -> str:
    if report.n_shards_missing:
        return f"none: {report.n_shards_missing} shard(s) did not answer; retry later"
    if report.records_match is None:
        return "none: the order does not declare its records"
    if report.records_match:
        return "the records are exactly the ordered ones (number and digest agree)"
    return "the records are not the ordered ones: see missing and not_ordered"


def _waiting_lines(notes: tuple[RecordNote, ...]) -> list[str]:
    """Return one line per reason, as many records may wait for the same reason."""
    by_reason: dict[str, list[str]] = {}
    for note in notes:
        by_reason.setdefault(note.reason, []).append(note.record_name)
    lines = []
    for reason, names in sorted(by_reason.items(), key=lambda item: -len(item[1])):
        more = ", ..." if len(names) > MAX_SHOWN_NAMES else ""
        shown = ", ".join(names[:MAX_SHOWN_NAMES])
        lines.append(f"waiting ({len(names)}): {reason}: {shown}{more}")
    return lines


def _notes(title: str, notes: tuple[RecordNote, ...]) -> list[str]:
    if not notes:
        return []
    lines = [f"{title} ({len(notes)}):"]
    for note in notes[:MAX_SHOWN_NOTES]:
        lines.append(f"  {note.record_name}: {note.state}: {note.reason}")
    if len(notes) > MAX_SHOWN_NOTES:
        lines.append(MORE_NOTES.format(n_more=len(notes) - MAX_SHOWN_NOTES))
    return lines
