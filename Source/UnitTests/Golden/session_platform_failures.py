# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Jobs complete in spite of failures.

Owners are killed, frozen and stopped, all instances are killed at once, the store refuses or does
not answer, and a worker crashes.
"""
import signal
import sys

from platform_golden import (PlatformCell, Session, call, spec_of, state, submit, verdict,
                             wait_until)

KIND = "site-rebuild"
JOBS, TASKS = 3, 20
RUN_MS = 15000  # the stand-in's workers take a tenth of this time (run_time below)


class Failures:
    """Injects one failure after the other into one cell."""

    def __init__(self, session, cell):
        self.session = session
        self.cell = cell
        self.round = 0
        self.expected = 0

    def any_instance(self):
        return next(name for name in self.cell.instances if self.cell.lives(name))

    def start_jobs(self, what):
        """Submits jobs and waits until their first steps run, before the failure is injected."""
        self.round += 1
        self.session.note(f"# {what}")
        self.jobs = [f"{self.round:08x}{number:08x}" for number in range(JOBS)]
        for job in self.jobs:
            submit(self.session, self.cell, self.any_instance(), KIND, job,
                   spec_of(self.cell, KIND, estimate_ms=RUN_MS))
        wait_until("the first steps to run",
                   lambda: self.cell.report()["runs"] == JOBS * TASKS // 2)

    def ended(self, runs_again=False):
        instance = self.any_instance()
        for job in self.jobs:
            wait_until(f"{job} to end",
                       lambda job=job: state(self.cell, instance, KIND, job) == "completed")
        self.expected += JOBS * TASKS
        starts = self.cell.report()["starts"]
        again = starts - self.expected
        self.expected = starts
        self.session.note("all completed; " + ("tasks ran again: " + str(again > 0) if runs_again
                                               else f"runs again: {again}"))

    def restart(self, name):
        self.cell.start_instance(name)
        wait_until(f"{name} to be ready", lambda: self.cell.ready(name))

    def kill_owner(self):
        self.start_jobs("the owner is killed")
        owner = self.cell.owner()
        self.cell.kill(owner)
        self.cell.wait_end(owner)
        self.ended()
        self.restart(owner)

    def kill_all(self):
        self.start_jobs("all instances are killed")
        for name in self.cell.instances:
            self.cell.kill(name)
        for name in self.cell.instances:
            self.cell.wait_end(name)
        for name in self.cell.instances:
            self.restart(name)
        self.ended()

    def freeze_owner(self):
        self.start_jobs("the owner is frozen, and wakes when another has taken over")
        owner = self.cell.owner()
        self.cell.kill(owner, signal.SIGSTOP)
        others = [name for name in self.cell.instances if name != owner]
        wait_until("another owner", lambda: any(
            f'"take_over","partition":"cell","from":"{owner}"' in self.cell.log(name)
            for name in others))
        self.cell.kill(owner, signal.SIGCONT)
        self.ended()

    def store_fault(self, fault, what):
        self.start_jobs(what)
        self.cell.admin("PUT", f"/store/{fault}")
        job = f"{self.round:08x}{0xff:08x}"
        body = spec_of(self.cell, "page-preview")
        submit(self.session, self.cell, self.any_instance(), "page-preview", job, body)
        self.cell.admin("PUT", "/store/works")
        wait_until("the job to be taken", lambda: submit(
            Session("unnoted"), self.cell, self.any_instance(), "page-preview", job, body) == 200)
        wait_until("the job to end", lambda: state(self.cell, self.any_instance(), "page-preview",
                                                   job) == "completed")
        self.expected += 12
        self.ended()

    def crash_worker(self):
        self.start_jobs("a worker crashes")
        self.cell.admin("POST", "/workers/0/crash")
        self.cell.admin("POST", "/workers/0/replace")
        self.ended(runs_again=True)

    def stop_all_in_turn(self):
        self.start_jobs("each instance is stopped as planned, in turn")
        for name in self.cell.instances:
            self.cell.processes[name].terminate()
            self.session.note(f"exit code: {self.cell.wait_end(name)}")
            self.restart(name)
        self.ended()


def main():
    session = Session("session_platform_failures")
    with PlatformCell("periyar", 26000, instances=3, workers=12, run_time=0.1) as cell:
        cell.start()
        failures = Failures(session, cell)
        failures.kill_owner()
        failures.kill_all()
        failures.freeze_owner()
        failures.store_fault("unavailable",
                             "the store refuses; whether a job is kept is not known, and it comes again")
        failures.store_fault("silent", "the store is silent; a job's fate is unclear, and it comes again")
        failures.stop_all_in_turn()
        failures.crash_worker()
        call(session, cell, "GET", failures.any_instance(), KIND)
        verdict(session, cell)
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
