# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Checks, during a run and at its end, the guarantees that concern the cell as a whole."""
import json
import random
import threading
import time

from cluster import http
from ledger import ACCEPTED, VISIBLE_SECONDS

PERIOD = 0.5
# Seconds without a fault at an instance after which its counts of waiting jobs are checked.
COUNT_CHECK_CALM_SECONDS = 3.5
# Seconds of calm (no troubles, all instances ready) within which a long-running task runs again.
LONG_RUNNING_CALM_SECONDS = 9.0
MOST_RESIDENT_MIB = 300
# Limits for all accepted jobs to end, and to be cancelled, after all faults have been removed;
# generous, because the machine may be busy.
SETTLE_SECONDS, CANCEL_SECONDS = 90.0, 30.0
SETTLE_LEAST = 4.0


class Watch:
    def __init__(self, cell, ledger, troubles, seed):
        self.cell = cell
        self.ledger = ledger
        self.troubles = troubles
        self.draw = random.Random(f"{seed}/watch")
        self.calm_since = None
        self.most_resident = 0
        self.running_at = {}  # long-running task: when last seen running or reported as lost
        self.violations_reported = 0
        self.stopped = threading.Event()
        self.failures = []
        self.looks = {"counts": 0, "lasting": 0, "longest_calm": 0.0}
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        try:
            while not self.stopped.wait(PERIOD):
                self.look()
        except Exception as error:  # a fault of the soak itself, which the run reports
            self.failures.append(repr(error))
            raise

    def stop(self):
        self.stopped.set()
        self.thread.join()

    def look(self):
        self.cell.look()
        while self.cell.ends_by_themselves:
            self.ledger.breaks("ENDED", self.cell.ends_by_themselves.pop())
        self.update_calm()
        self.check_counts()
        self.check_long_running()
        self.check_memory()
        self.report_violations()

    def update_calm(self):
        quiet = self.troubles.quiet_since()
        if quiet is None or not self.cell.all_ready():
            self.calm_since = None
            return
        now = time.monotonic()
        if self.calm_since is None or quiet > self.calm_since:
            self.calm_since = now
        self.looks["longest_calm"] = max(self.looks["longest_calm"], now - self.calm_since)

    def calm_for(self, seconds):
        quiet = self.troubles.quiet_since()
        return (self.calm_since is not None and quiet is not None and quiet <= self.calm_since
                and time.monotonic() - self.calm_since >= seconds)

    def check_counts(self):
        """Checks the counts of waiting jobs at a random instance that has had no recent fault.

        Such an instance must know the waiting jobs even while others are stopped or killed.
        """
        names = [name for name in self.cell.records
                 if self.cell.undisturbed_for(name, COUNT_CHECK_CALM_SECONDS)]
        if not names:
            return
        name = self.draw.choice(names)
        for kind in self.cell.yard["kinds"]:
            self.check_count(name, kind)

    def check_count(self, name, kind):
        asked_at = time.monotonic()
        url = f"http://{self.cell.address(name)}{kind['path_prefix']}"
        status, _, body = http("GET", url, host=kind["host"])
        if status not in ACCEPTED:
            return
        reported = json.loads(body)["pending"]
        started = set(self.cell.admin("GET", "/runs")["started"])
        waiting = [job for job in self.ledger.all()
                   if job.kind == kind["name"] and job.accepted_at is not None
                   and asked_at - job.accepted_at > VISIBLE_SECONDS
                   and not job.cancel_asked and not job.final and job.id not in started]
        self.looks["counts"] += bool(waiting)
        if (reported < len(waiting) / 2
                and self.cell.undisturbed_for(name, COUNT_CHECK_CALM_SECONDS)):
            self.ledger.breaks("MIXED", f"{name} says {reported} jobs of {kind['name']} wait, and "
                                        f"{len(waiting)} do, such as {waiting[0].id}")

    def long_running_tasks(self):
        for job in self.ledger.all():
            if (job.long_running and not job.crashing and job.accepted_at is not None
                    and not job.cancel_asked):
                step = job.body["phases"][0]
                for index in range(step["count"]):
                    yield job, (job.id, 0, index)

    def check_long_running(self):
        running = {tuple(task) for task in self.cell.admin("GET", "/runs")["tasks"]}
        now = time.monotonic()
        for job, task in self.long_running_tasks():
            if task in running:
                self.running_at[task] = now
                continue
            if not self.calm_for(LONG_RUNNING_CALM_SECONDS):
                continue
            self.looks["lasting"] += 1
            missed = now - max(self.running_at.get(task, 0), job.accepted_at, self.calm_since)
            if missed > LONG_RUNNING_CALM_SECONDS and not job.cancel_asked:
                self.ledger.breaks("LOST", f"{task}, which lasts, did not run for {missed:.1f} s "
                                           "of calm")
                self.running_at[task] = now

    def check_memory(self):
        for name, record in self.cell.records.items():
            if not record.should_live:
                continue
            try:
                resident = self.cell.process_cost(name)[1] / 1024
            except (OSError, IndexError):
                continue  # the process has just ended
            if self.most_resident < MOST_RESIDENT_MIB < resident:
                self.ledger.breaks("MEMORY", f"{name} has {resident:.0f} MiB resident")
            self.most_resident = max(self.most_resident, resident)

    def report_violations(self):
        violations = self.cell.report()["violations"]
        for violation in violations[self.violations_reported:]:
            self.ledger.breaks("JUDGE", violation)
        self.violations_reported = len(violations)


def settle(cell, ledger, callers):
    """Checks, after all faults were removed, that every accepted job ends or can be cancelled."""
    # Waits long enough for long-running tasks to be checked in calm.
    least = time.monotonic() + LONG_RUNNING_CALM_SECONDS + SETTLE_LEAST
    until = time.monotonic() + SETTLE_SECONDS
    open_jobs = ledger.all()
    while (open_jobs or time.monotonic() < least) and time.monotonic() < until:
        time.sleep(PERIOD)
        open_jobs = [job for job in open_jobs if not job.long_running and not job.cancel_asked
                     and job.accepted_at is not None and not job.final]
    for job in open_jobs:
        ledger.breaks("LOST", f"{job.id}: accepted, and still {job.state} "
                              f"{SETTLE_SECONDS:.0f} s after all was mended ({job.tries})")
    for job in ledger.all():
        if job.accepted_at is not None and not job.final:
            callers.at(time.monotonic(), callers.cancel, job)
    wait_cancelled(cell, ledger)


def wait_cancelled(cell, ledger):
    until = time.monotonic() + CANCEL_SECONDS
    left = True
    while left and time.monotonic() < until:
        time.sleep(PERIOD)
        acknowledged = {job.id for job in ledger.all() if job.cancelled_at is not None}
        running = [task for task in cell.admin("GET", "/runs")["tasks"] if task[0] in acknowledged]
        left = running or [job.id for job in ledger.all()
                           if job.accepted_at is not None and not job.final and not job.cancel_asked]
    if left:
        ledger.breaks("UNASKED", f"{CANCEL_SECONDS:.0f} s after their cancellation: {left[:5]}")


def check_known(ledger, callers):
    """Schedules one last state query for each accepted job."""
    callers.polling = False
    for job in ledger.all():
        if job.accepted_at is not None:
            callers.at(time.monotonic(), callers.ask_now, job)


def check_logs(cell, ledger):
    """Checks that each line of every instance's log is a complete JSON event."""
    for name in cell.instances:
        for number, line in enumerate(cell.log(name).splitlines(), 1):
            try:
                json.loads(line)
            except ValueError:
                ledger.breaks("LOG", f"{name}, line {number} is torn: {line[:120]!r}")


def stop_all(cell, ledger):
    for name in cell.instances:
        cell.ask_to_stop(name)
    for name in cell.instances:
        mistake = cell.wait_stopped(name)
        if mistake is not None:
            ledger.breaks("STOP", f"{name}: {mistake}, the last one")
