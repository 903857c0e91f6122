"""The mutants of the jobs subsystem, which runs graphs of tasks."""

from typing import Final

from mutant_table import Change, Mutant

__all__ = ["JOB_MUTANTS"]

TESTS: Final = (
    "tests/jobs",
    "tests/decisions/test_job_progress.py",
    "tests/decisions/test_step_placement.py",
    "tests/decisions/test_evacuation.py",
)


def mutant(name: str, package: str, module: str, before: str, after: str) -> Mutant:
    change = Change(module, before, after)
    return Mutant(f"jobs: {name}", (change,), package, "jobs", TESTS)


JOB_MUTANTS: Final = (
    mutant(
        "send commands before the assignment is stored",
        "jobs",
        "attempt_monitor.py",
        "                if not task.is_stored:\n                    continue\n",
        "",
    ),
    mutant(
        "acknowledge ends before they are stored",
        "decisions",
        "worker_lease.py",
        "if job_id is not None and not is_stored(job_id, version):",
        "if False:",
    ),
    mutant(
        "commit without the head's revision as a condition",
        "jobs",
        "committer.py",
        "                ((HEAD_KEY, self._revision),),\n",
        "                (),\n",
    ),
    mutant(
        "reuse the epoch at a takeover",
        "jobs",
        "leadership.py",
        "HeadRecord(epoch + 1, self._node",
        "HeadRecord(max(1, epoch), self._node",
    ),
    mutant(
        "accept earlier owners",
        "jobs",
        "worker_agent.py",
        "        if hello.epoch < self._state.epoch:\n            self._log.line(",
        "        if False:\n            self._log.line(",
    ),
    mutant(
        "send waiting commands under the latest epoch",
        "jobs",
        "worker_agent.py",
        "            self._on_message(body, hello.epoch)\n",
        "            self._on_message(body, self._state.epoch)\n",
    ),
    mutant(
        "answer a later owner",
        "jobs",
        "worker_commands.py",
        "        if epoch == self._state.epoch:\n",
        "        if True:\n",
    ),
    mutant(
        "trust the watch of before a step-down",
        "jobs",
        "leadership.py",
        "                self._restart_watch()\n",
        "",
    ),
    mutant(
        "connect to agents before the state is loaded",
        "jobs",
        "owner.py",
        "        if self._loaded_at is None:\n            return\n",
        "",
    ),
    mutant(
        "release a silent worker at once",
        "jobs",
        "worker_lifecycle.py",
        "if now_s > lease.surely_expired_s:",
        "if now_s > lease.listed_s + 2.0:",
    ),
    mutant(
        "ignore leases of earlier owners",
        "decisions",
        "worker_lease.py",
        "return takeover_s + self.unconfirmed_s / (1 - self.drift) + self.margin_s",
        "return takeover_s + self.margin_s",
    ),
    mutant(
        "renew leases without confirmed ownership",
        "decisions",
        "worker_lease.py",
        "reach_s = min(terms.lease_s, left_s * (1 - terms.drift))",
        "reach_s = terms.lease_s",
    ),
    mutant(
        "release an attempt after any refused start",
        "jobs",
        "command_dispatcher.py",
        "if reply.verdict in _NOT_STARTED and task.n_sends == 1:",
        "if reply.verdict != Verdict.FENCED.value:",
    ),
    mutant(
        "release an unlisted attempt without revocation",
        "jobs",
        "command_dispatcher.py",
        "        if task.is_revoking or is_unwanted:\n",
        "        if task.is_revoking:\n"
        '            self._assignments.release(job, key, "absent")\n'
        "        elif is_unwanted:\n",
    ),
    mutant(
        "answer a revocation without a poll",
        "jobs",
        "worker_commands.py",
        "        if listing.lists_all_ends and not is_running:",
        "        if listing.lists_all_ends:",
    ),
    mutant(
        "release all tasks of a restarted worker",
        "jobs",
        "worker_lifecycle.py",
        "if is_renamed or was_here or task.n_sends == 0:",
        "if True:",
    ),
    mutant(
        "never adopt an attempt on a later incarnation",
        "jobs",
        "assignments.py",
        "if task is None or old is None or not job.adopt(key, attempt, incarnation):",
        "if True:",
    ),
    mutant(
        "ignore the order of steps",
        "decisions",
        "job_progress.py",
        "        return all(steps[earlier].is_done for earlier in",
        "        return True or all(steps[earlier].is_done for earlier in",
    ),
    mutant(
        "do not count failures",
        "decisions",
        "job_progress.py",
        "            task.n_failed += 1\n",
        "",
    ),
    mutant(
        "start tasks after a cancellation",
        "jobs",
        "command_dispatcher.py",
        "        if is_unwanted and task.n_sends == 0:",
        "        if False:",
    ),
    mutant(
        "free the capacity of a stopping task",
        "jobs",
        "scheduler.py",
        "        self._table.cancel(job_id)\n",
        "        self._table.cancel(job_id)\n"
        "        for key, _ in tuple(self.jobs[job_id].placed()):\n"
        '            self._assignments.release(self.jobs[job_id], key, "cancelled")\n',
    ),
    mutant(
        "refuse a job with an uncertain write",
        "jobs",
        "job_api.py",
        "StoreResult.UNKNOWN if may_be_stored else StoreResult.NOT_DONE",
        "StoreResult.NOT_DONE",
    ),
    mutant(
        "report states before they are stored",
        "jobs",
        "job_table.py",
        "        tracking.version += 1\n",
        "        tracking.version += 1\n"
        "        self.stored_states[job.job_id] = job.state\n",
    ),
    mutant(
        "take an attempt for absent whose end a full list may hide",
        "jobs",
        "worker_commands.py",
        "        if listing.lists_all_ends and not is_running:",
        "        if not is_running:",
    ),
    mutant(
        "believe in an incarnation that its worker denies",
        "jobs",
        "report_check.py",
        "            if _is_by_other(poll, asked):",
        "            if False:",
    ),
    mutant(
        "believe in a departure while the worker can be called",
        "jobs",
        "report_check.py",
        "            if isinstance(poll, PollFailed) and poll.is_absent:",
        "            if True:",
    ),
    mutant(
        "serve an owner that means another node's agent",
        "jobs",
        "worker_agent.py",
        '        if hello.agent not in ("", self._node):',
        "        if False:",
    ),
    mutant(
        "let another worker revoke an attempt",
        "jobs",
        "command_dispatcher.py",
        "        is_its_worker = incarnation.worker_id == worker_id",
        "        is_its_worker = True",
    ),
    mutant(
        "count a batch as stored after its first group",
        "jobs",
        "scheduler.py",
        "            if not batch.parts:\n                result.completed",
        "            if True:\n                result.completed",
    ),
    mutant(
        "store the head of a large job only",
        "jobs",
        "progress_records.py",
        "    if job.spec.is_large:\n        parts.append(",
        "    if False:\n        parts.append(",
    ),
    mutant(
        "fail a job for other records of its group",
        "jobs",
        "scheduler.py",
        "is_blamed=not refused.n_learned",
        "is_blamed=True",
    ),
    mutant(
        "place tasks while the evacuations are not known",
        "jobs",
        "scheduler.py",
        "        if self._fleet.evacuations.are_known(steady_s()):\n"
        "            self._planner.plan()",
        "        if True:\n            self._planner.plan()",
    ),
    mutant(
        "regard the evacuations as known however old they are",
        "jobs",
        "evacuations.py",
        "not self.terms.is_used or age_s <= self.terms.view_limit_s",
        "True",
    ),
    mutant(
        "regard the evacuations as known before the first read",
        "jobs",
        "evacuations.py",
        "    read_s: float = -math.inf",
        "    read_s: float = math.inf",
    ),
    mutant(
        "place tasks in evacuated places",
        "jobs",
        "fleet.py",
        "            and self.evacuations.may_start(worker.place, now_s)\n",
        "",
    ),
    mutant(
        "send starts to evacuated places",
        "jobs",
        "command_dispatcher.py",
        "        if not self._fleet.evacuations.may_start(record.place, now_s):",
        "        if False:",
    ),
    mutant(
        "keep assignments to evacuated places that were not sent",
        "jobs",
        "command_dispatcher.py",
        "            if is_evacuated and task.n_sends == 0:",
        "            if False:",
    ),
    mutant(
        "send starts that are valid for the whole lease",
        "decisions",
        "evacuation.py",
        "        return min(lease_until_ms, clock_ms + int(valid_s * 1000))",
        "        return lease_until_ms",
    ),
    mutant(
        "take the age of a listing for the time of the worker's clock",
        "decisions",
        "evacuation.py",
        "age_s * (1 - self.drift) + self.start_window_s",
        "age_s / (1 - self.drift) + self.start_window_s",
    ),
    mutant(
        "start tasks at an agent whose place is evacuated",
        "jobs",
        "worker_commands.py",
        "if self._is_draining or incarnation.state.place in self._state.evacuated:",
        "if self._is_draining:",
    ),
    mutant(
        "tell an agent of evacuations with the next change only",
        "jobs",
        "worker_agent.py",
        "        self._set_evacuated(hello.evacuated)\n",
        "",
    ),
    mutant(
        "apply answers about evacuations that are outdated",
        "jobs",
        "evacuations.py",
        "        if revision >= self._revision:\n            places =",
        "        if True:\n            places =",
    ),
    mutant(
        "count the age of the evacuations from the answer",
        "jobs",
        "evacuations.py",
        "EvacuationRequests(since_s, max(before.read_s, sent_s))",
        "EvacuationRequests(since_s, now_s)",
    ),
    mutant(
        "move tasks at once when a place is evacuated",
        "jobs",
        "evacuator.py",
        "            is_settled = self._is_settled(record.place, now_s)",
        "            is_settled = True",
    ),
    mutant(
        "move more lasting tasks out of a place than may be away",
        "decisions",
        "evacuation.py",
        "n_away.others(placed) < step.n_may_be_away",
        "True",
    ),
    mutant(
        "move tasks without free capacity elsewhere",
        "decisions",
        "evacuation.py",
        "        elif outlook is Outlook.MOVES and not free.take(placed):",
        "        elif False:",
    ),
    mutant(
        "forget the capacity for tasks that have left a place",
        "decisions",
        "evacuation.py",
        "    for placed in moved:\n        free.take(placed)\n",
        "",
    ),
    mutant(
        "store a job after its cancellation",
        "jobs",
        "job_api.py",
        "((key, ABSENT_REVISION), (cancel_key(job_id), ABSENT_REVISION))",
        "((key, ABSENT_REVISION),)",
    ),
    mutant(
        "forget the uncertain writes for other entries",
        "jobs",
        "job_api.py",
        "        if answer.result is StoreResult.UNKNOWN:\n"
        "            self._uncertain_since_s[body.job_id] = steady_s()\n",
        "",
    ),
    mutant(
        "keep early cancellations in the store for ever",
        "jobs",
        "scheduler.py",
        "        return finished + self._early_cancellations.removable(n_left)",
        "        return finished",
    ),
    mutant(
        "send notifications once",
        "jobs",
        "owner_link.py",
        "            for body in self._notices.latest():\n"
        "                channel.post(body)\n",
        "",
    ),
    mutant(
        "cut off the commands at the worker of an agent that ends",
        "jobs",
        "worker_agent.py",
        "        await self._commands.drain()\n",
        "",
    ),
)
