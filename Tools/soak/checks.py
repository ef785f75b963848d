# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Looks at the cell while it runs, and at its end, for promises that only the whole shows."""
import json
import random
import threading
import time

from cluster import http
from ledger import ACCEPTED, VISIBLE_SECONDS

PERIOD = 0.5
# Counts of waiting jobs hold at an instance that has had no trouble of its own for so long.
TOUCH_FOR_COUNTS = 3.5
# A task that lasts runs again within so much calm.
CALM_FOR_LASTING = 9.0
MOST_RESIDENT_MIB = 300
# To end everything that was accepted, once all is mended; generous, as the machine may be busy.
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
        self.running_at = {}  # a task that lasts: when it was last seen at work, or last missed
        self.violations_told = 0
        self.stopped = threading.Event()
        self.failures = []
        self.looks = {"counts": 0, "lasting": 0, "longest_calm": 0.0}
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        try:
            while not self.stopped.wait(PERIOD):
                self.look()
        except Exception as error:  # a fault of the soak itself: the run says so
            self.failures.append(repr(error))
            raise

    def stop(self):
        self.stopped.set()
        self.thread.join()

    def look(self):
        self.cell.look()
        while self.cell.ends_by_themselves:
            self.ledger.breaks("ENDED", self.cell.ends_by_themselves.pop())
        self.note_calm()
        self.check_counts()
        self.check_lasting()
        self.check_memory()
        self.tell_violations()

    def note_calm(self):
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
        """Others may be stopped and killed meanwhile: an instance in touch knows what waits."""
        names = [name for name in self.cell.records if self.cell.in_touch(name, TOUCH_FOR_COUNTS)]
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
        told = json.loads(body)["pending"]
        started = set(self.cell.admin("GET", "/runs")["started"])
        waiting = [job for job in self.ledger.all()
                   if job.kind == kind["name"] and job.accepted_at is not None
                   and asked_at - job.accepted_at > VISIBLE_SECONDS
                   and not job.cancel_asked and not job.final and job.id not in started]
        self.looks["counts"] += bool(waiting)
        if told < len(waiting) / 2 and self.cell.in_touch(name, TOUCH_FOR_COUNTS):
            self.ledger.breaks("MIXED", f"{name} says {told} jobs of {kind['name']} wait, and "
                                        f"{len(waiting)} do, such as {waiting[0].id}")

    def lasting_tasks(self):
        for job in self.ledger.all():
            if (job.lasting and not job.crashing and job.accepted_at is not None
                    and not job.cancel_asked):
                step = job.body["phases"][0]
                for index in range(step["count"]):
                    yield job, (job.id, 0, index)

    def check_lasting(self):
        running = {tuple(task) for task in self.cell.admin("GET", "/runs")["tasks"]}
        now = time.monotonic()
        for job, task in self.lasting_tasks():
            if task in running:
                self.running_at[task] = now
                continue
            if not self.calm_for(CALM_FOR_LASTING):
                continue
            self.looks["lasting"] += 1
            missed = now - max(self.running_at.get(task, 0), job.accepted_at, self.calm_since)
            if missed > CALM_FOR_LASTING and not job.cancel_asked:
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
                continue  # it has just gone
            if self.most_resident < MOST_RESIDENT_MIB < resident:
                self.ledger.breaks("MEMORY", f"{name} has {resident:.0f} MiB resident")
            self.most_resident = max(self.most_resident, resident)

    def tell_violations(self):
        violations = self.cell.report()["violations"]
        for violation in violations[self.violations_told:]:
            self.ledger.breaks("JUDGE", violation)
        self.violations_told = len(violations)


def settle(cell, ledger, callers):
    """After all is mended: every accepted job ends, or can be cancelled, and is known."""
    # Long enough that tasks which last are looked at in calm.
    least = time.monotonic() + CALM_FOR_LASTING + SETTLE_LEAST
    until = time.monotonic() + SETTLE_SECONDS
    open_jobs = ledger.all()
    while (open_jobs or time.monotonic() < least) and time.monotonic() < until:
        time.sleep(PERIOD)
        open_jobs = [job for job in open_jobs if not job.lasting and not job.cancel_asked
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
    """Each accepted job is asked for once more."""
    callers.polling = False
    for job in ledger.all():
        if job.accepted_at is not None:
            callers.at(time.monotonic(), callers.ask_now, job)


def check_logs(cell, ledger):
    """Each line of an instance's log is one whole event."""
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
