# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Records the replies that callers got for each job and checks them against the guarantees."""
import collections
import threading
import time

ACCEPTED, REFUSALS = range(200, 300), (429, 503)
RANKS = {"queued": 0, "active": 1, "completed": 2, "failed": 2, "canceled": 2}
FINAL_RANK = 2
# Every instance must know an accepted job after this time, also on a busy machine.
VISIBLE_SECONDS = 5.0


class Job:
    def __init__(self, number, kind, body, plan):
        self.id = f"{number:016x}"
        self.kind = kind
        self.body = body
        self.plan = plan  # what the caller does with the job
        self.tries = []  # statuses of the submissions, in order; 0 means no reply
        self.accepted_at = None
        self.cancel_asked = False
        self.cancelled_at = None
        self.state = "queued"
        self.lock = threading.Lock()  # allows one state query at a time

    @property
    def long_running(self):
        return any(step.get("long_running") for step in self.body["phases"])

    @property
    def flaky(self):
        return self.body["spec"] == "flaky"

    @property
    def crashing(self):
        """Whether one of the job's tasks crashes each worker that starts the task."""
        return self.body["spec"] == "crashing"

    @property
    def final(self):
        return RANKS[self.state] == FINAL_RANK

    def last_refused(self):
        """Whether the last submission was refused, which promises that the job never runs."""
        return bool(self.tries) and self.tries[-1] in REFUSALS


class Ledger:
    """All jobs of a run and the broken guarantees; methods may be called from any thread."""

    def __init__(self, began):
        self.began = began
        self.lock = threading.Lock()
        self.jobs = {}
        self.broken = []
        self.rules = collections.Counter()

    def breaks(self, rule, what):
        line = f"{time.monotonic() - self.began:7.2f} s  {rule}: {what}"
        with self.lock:
            self.broken.append(line)
            self.rules[rule] += 1
        print("  BROKEN " + line, flush=True)

    def by_rule(self):
        return ", ".join(f"{rule} {count}" for rule, count in sorted(self.rules.items()))

    def add(self, job):
        with self.lock:
            self.jobs[job.id] = job

    def all(self):
        with self.lock:
            return list(self.jobs.values())

    def answered(self, job, status, instance):
        job.tries.append(status)
        if status in ACCEPTED and job.accepted_at is None:
            job.accepted_at = time.monotonic()
        elif status in REFUSALS and job.accepted_at is not None:
            self.breaks("REFUSED", f"{job.id}: {instance} said {status} though it had been accepted"
                                   f" ({job.tries})")
        elif status in (400, 404, 410, 412):
            self.breaks("CONFIG", f"{job.id}: {instance} said {status} to a valid job")

    def shown(self, job, state, instance):
        """Records and checks the state that an instance reported; returns the previous state."""
        before, job.state = job.state, state
        if RANKS[state] < RANKS[before] or (RANKS[before] == FINAL_RANK and state != before):
            self.breaks("BACK", f"{job.id}: {before}, then {state} from {instance}")
        if state == "failed" and not job.flaky and not job.crashing:
            self.breaks("LOST", f"{job.id}: shown as failed by {instance}, and none of its tasks fail")
        if state == "completed" and job.long_running:
            self.breaks("LOST", f"{job.id}: shown as completed by {instance}, but it lasts")
        return before

    def unknown(self, job, instance, asked_at):
        """Records LOST if the instance that reported no such job should know the job."""
        if (job.accepted_at is not None and asked_at > job.accepted_at + VISIBLE_SECONDS
                and not job.cancel_asked):
            self.breaks("LOST", f"{job.id}: {instance} does not know it, "
                                f"{asked_at - job.accepted_at:.1f} s after it was accepted")

    def check_refusals(self, started):
        """Records REFUSED for refused jobs that ran; `started`: ids of jobs that ran a task."""
        for job in self.all():
            if job.last_refused() and job.accepted_at is None and job.id in started:
                self.breaks("REFUSED", f"{job.id}: it ran, and the last answer was a refusal "
                                       f"({job.tries})")
