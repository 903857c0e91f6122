"""Sends start, stop and revocation commands, and handles the workers' answers.

A command is sent only for a stored assignment, and repeated until it has an effect.
After several unanswered starts, or when the worker does not list the attempt, the
attempt is revoked instead. No start is sent to a worker whose polls fail, or whose
place is evacuated; an attempt without any sent start is released. No start is sent
while the requests to evacuate places are not known.
"""

from collections.abc import Callable
from typing import Final

from almondspan_decisions.ids import WorkerId
from almondspan_decisions.job_graph import TaskKey, format_task_name
from almondspan_decisions.job_progress import (
    JobProgress,
    TaskPhase,
    TaskState,
    WorkerIncarnation,
)
from almondspan_jobs.assignments import Assignments
from almondspan_jobs.clocks import steady_s
from almondspan_jobs.event_log import EventLog
from almondspan_jobs.fleet import Fleet
from almondspan_jobs.interference_monitor import InterferenceMonitor
from almondspan_jobs.job_table import JobTable
from almondspan_jobs.messages import (
    AttemptRevoked,
    StartCommand,
    StartReply,
    StopCommand,
    TaskTraits,
    TaskTraitsUpdate,
)
from almondspan_jobs.metrics import Metrics
from almondspan_jobs.options import JobOptions
from almondspan_platform.task_worker import Verdict
from almondspan_wire.codec import Message

__all__ = ["CommandDispatcher"]

MAX_START_SENDS: Final = 3
"""After this many unanswered start commands the attempt is revoked instead."""

_NOT_STARTED: Final = frozenset(
    {
        Verdict.NO_CAPACITY.value,
        Verdict.TOO_LATE.value,
        Verdict.NO_TICKET.value,
        Verdict.NOT_TAKEN.value,
        Verdict.MALFORMED.value,
    }
)
"""Answers after which the first start command has certainly not taken effect."""


class CommandDispatcher:
    """Sends the commands that placed tasks need."""

    def __init__(
        self,
        table: JobTable,
        fleet: Fleet,
        assignments: Assignments,
        interference: InterferenceMonitor,
        post: Callable[[WorkerId, Message], bool],
        options: JobOptions,
        log: EventLog,
        metrics: Metrics,
    ) -> None:
        self._table: Final = table
        self._fleet: Final = fleet
        self._assignments: Final = assignments
        self._interference: Final = interference
        self._post: Final = post
        self._options: Final = options
        self._log: Final = log
        self._metrics: Final = metrics
        self._unassigned_stops: dict[tuple[str, int], float] = {}
        """Send time of the last stop of an unassigned attempt, by task and attempt."""
        self._unresolved_starts: Final[
            dict[WorkerId, dict[tuple[str, int], float]]
        ] = {}
        """Start commands without a definite answer: send time by task and attempt."""

    def load(self, job: JobProgress) -> None:
        """Regard the starts of a job's assigned attempts as sent and unanswered."""
        for key, task in job.placed():
            assert task.incarnation is not None
            name = format_task_name(job.job_id, key)
            self._remember_start(task.incarnation.worker_id, name, task.n_attempts)

    def _remember_start(self, worker_id: WorkerId, name: str, attempt: int) -> None:
        starts = self._unresolved_starts.setdefault(worker_id, {})
        starts[(name, attempt)] = steady_s()

    def unresolved_starts(self, worker_id: WorkerId) -> tuple[tuple[str, int], ...]:
        """Return the attempts with a start command that may still be executed."""
        return tuple(self._unresolved_starts.get(worker_id, ()))

    def tick(self, now_s: float) -> None:
        """Forget commands that can no longer be executed."""
        for starts in self._unresolved_starts.values():
            for name, sent_s in tuple(starts.items()):
                if now_s - sent_s > self._options.late_command_s:
                    del starts[name]
        self._unassigned_stops = {
            name: sent_s
            for name, sent_s in self._unassigned_stops.items()
            if now_s - sent_s < self._options.command_resend_s
        }

    def on_start_reply(self, worker_id: WorkerId, reply: StartReply) -> None:
        """Handle the answer to a start command."""
        incarnation = WorkerIncarnation(worker_id, reply.started_ms)
        found = self._table.find_task(reply.task)
        if found is None:
            return
        job, key = found
        if not job.is_assigned(key, reply.attempt, incarnation):
            return
        task = job.task(key)
        assert task is not None
        if reply.verdict != Verdict.NO_ANSWER.value and task.n_sends == 1:
            starts = self._unresolved_starts.get(worker_id, {})
            starts.pop((reply.task, reply.attempt), None)
        if reply.verdict == Verdict.DONE.value:
            task.record_start(is_proven=reply.is_proven)
            task.started_s = steady_s()
            self._metrics.observe_s("order", steady_s() - task.sent_s)
            return
        if reply.verdict == Verdict.NO_ANSWER.value:
            task.record_start(is_proven=False)
        self._log.line(
            "start_refused",
            task=reply.task,
            attempt=reply.attempt,
            worker=worker_id,
            verdict=reply.verdict,
            n_sends=task.n_sends,
        )
        self._metrics.count(f"start_{reply.verdict}")
        if reply.verdict == Verdict.NOT_TAKEN.value:
            self._fleet.lease(incarnation).refused_s = steady_s()
        if reply.verdict in _NOT_STARTED and task.n_sends == 1:
            task.avoid(worker_id)
            self._assignments.release(job, key, reply.verdict)
        elif reply.verdict == Verdict.NO_ANSWER.value and not task.listed_s:
            task.sent_s = 0.0
            task.is_revoking = task.n_sends >= MAX_START_SENDS
        elif reply.verdict != Verdict.FENCED.value and not task.listed_s:
            task.is_revoking = True

    def on_attempt_revoked(self, worker_id: WorkerId, reply: AttemptRevoked) -> None:
        """Release an attempt that its worker has revoked.

        That its absence was found by a later incarnation of the worker is as good; what
        another worker or an earlier incarnation does not run may still run.
        """
        found = self._table.find_task(reply.task)
        if found is None:
            return
        job, key = found
        task = job.task(key)
        if task is None or task.n_attempts != reply.attempt or not task.is_revoking:
            return
        incarnation = task.incarnation
        if task.phase is not TaskPhase.PLACED or incarnation is None:
            return
        is_its_worker = incarnation.worker_id == worker_id
        if not is_its_worker or reply.started_ms < incarnation.started_ms:
            self._log.line(
                "revocation_ignored",
                task=reply.task,
                attempt=reply.attempt,
                worker=worker_id,
                born=reply.started_ms,
                assigned=str(incarnation),
            )
            return
        self._assignments.release(job, key, "absent")

    def send_due(
        self, job: JobProgress, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        """Send the command that a task with a stored assignment needs now, if any."""
        incarnation = task.incarnation
        assert incarnation is not None
        is_unwanted = task.is_stopping or not job.is_active
        if is_unwanted and task.n_sends == 0:
            self._assignments.release(job, key, "never_sent")
            return
        if now_s - task.sent_s < self._options.command_resend_s:
            return
        if not task.is_revoking:
            # The answer to an earlier start, if one was sent, is overdue.
            task.record_start(is_proven=False)
        if task.is_revoking or is_unwanted:
            self._send_stop(job, key, task, now_s)
        elif not task.listed_s and task.n_sends < MAX_START_SENDS:
            self._send_start(job, key, task, incarnation, now_s)

    def _send_stop(
        self, job: JobProgress, key: TaskKey, task: TaskState, now_s: float
    ) -> None:
        assert task.incarnation is not None
        name = format_task_name(job.job_id, key)
        is_revocation = task.is_revoking
        if self._post(
            task.incarnation.worker_id,
            StopCommand(name, task.n_attempts, is_revocation=is_revocation),
        ):
            task.sent_s = now_s
            self._log.line(
                "stop_sent",
                task=name,
                attempt=task.n_attempts,
                worker=task.incarnation.worker_id,
                void=is_revocation,
                job_state=job.state.value,
            )

    def _send_start(
        self,
        job: JobProgress,
        key: TaskKey,
        task: TaskState,
        incarnation: WorkerIncarnation,
        now_s: float,
    ) -> None:
        record = self._fleet.record_of(incarnation)
        if record is None and task.is_inherited:
            # The worker has not reported to this owner yet, and may run the attempt.
            # Its report, its next incarnation or the end of its lease will tell.
            return
        if record is None or record.is_leaving:
            if task.n_sends == 0:
                self._assignments.release(job, key, "worker_unfit")
            else:
                task.is_revoking = True
            return
        if self._fleet.is_unreachable(incarnation):
            if task.n_sends == 0:
                self._assignments.release(job, key, "worker_unreachable")
            return
        if not self._fleet.evacuations.may_start(record.place, now_s):
            # An attempt that was sent before is revoked if its worker does not list it.
            is_evacuated = self._fleet.evacuations.is_evacuated(record.place)
            if is_evacuated and task.n_sends == 0:
                self._assignments.release(job, key, "evacuated")
            return
        lease = self._fleet.lease(incarnation)
        if not lease.until_ms:
            # The worker's next listing gets its lease from this owner.
            return
        until_ms = self._fleet.evacuations.start_until_ms(lease, now_s)
        command = StartCommand(
            incarnation.started_ms,
            task.n_attempts,
            job.spec.payload,
            task.checkpoint,
            until_ms,
            self._task_traits(job, key),
            task.needs_trial,
        )
        if command.traits.tail_target_ms:
            self._interference.push(record)
        if self._post(incarnation.worker_id, command):
            task.record_send(now_s)
            self._remember_start(
                incarnation.worker_id, command.traits.task, task.n_attempts
            )

    def stop_unassigned(
        self, incarnation: WorkerIncarnation, name: str, attempt: int, now_s: float
    ) -> None:
        """Stop an attempt that a worker lists and that is not assigned to it."""
        last_s = self._unassigned_stops.get((name, attempt), 0.0)
        if now_s - last_s < self._options.command_resend_s:
            return
        self._unassigned_stops[(name, attempt)] = now_s
        self._post(incarnation.worker_id, StopCommand(name, attempt))
        self._log.line(
            "unassigned_stopped",
            task=name,
            attempt=attempt,
            worker=incarnation.worker_id,
        )

    def _task_traits(self, job: JobProgress, key: TaskKey) -> TaskTraits:
        step = job.step_of(key)
        name = format_task_name(job.job_id, key)
        return TaskTraits(
            name,
            step.image,
            step.tail_target_ms,
            step.fills,
            step.shape.cpu_millicores,
        )

    def traits_update_for(self, worker_id: WorkerId) -> TaskTraitsUpdate:
        """Return the traits of the tasks assigned to a worker."""
        record = self._fleet.workers.get(worker_id)
        held = self._fleet.held_by(record.incarnation) if record is not None else ()
        return TaskTraitsUpdate(
            [self._task_traits(self._table[job_id], key) for job_id, key in held]
        )

    def stop_again(self, worker_id: WorkerId) -> None:
        """Stop whatever a start command in flight may begin on a new incarnation."""
        for name, attempt in self.unresolved_starts(worker_id):
            self._post(worker_id, StopCommand(name, attempt))
