# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Draws the jobs of a run: when each is submitted, and what its caller does with it."""
import json
import random
import zlib
from dataclasses import dataclass
from typing import Optional

from ledger import Job

KINDS = {"preview": "page-preview", "rebuild": "site-rebuild", "watch": "live-watch"}
MEMORY_MIB = 100
# Shares of all workers' cores: the most that steady jobs use on average, and the total of
# long-running tasks.
LOAD_SHARE, LONG_RUNNING_SHARE = 0.45, 0.15
# Work submitted at once when jobs are meant to queue, in seconds of all workers' cores.
QUEUE_SECONDS = 10


@dataclass
class Plan:
    """When a caller acts, in seconds after the job was accepted; None means never."""
    at: float  # seconds after the start of the run
    again_after: Optional[float]
    cancel_after: Optional[float]


def step(count, cpu, estimate_ms, **others):
    return {"count": count, "cpu": cpu, "mem_mb": MEMORY_MIB, "estimate_ms": estimate_ms, **others}


def preview(draw):
    steps = [step(draw.randint(1, 6), 1300, 800)]
    if draw.random() < 0.5:
        steps.append(step(draw.randint(1, 6), 1300, 800, since_rev=[0]))
    return steps


def rebuild(draw):
    checkpointing = {"checkpointing": True} if draw.random() < 0.7 else {}
    steps = [step(draw.randint(4, 10), 2700, 4800 * draw.randint(1, 3), **checkpointing)]
    if draw.random() < 0.6:
        steps.append(step(draw.randint(4, 10), 2700, 4800, since_rev=[0], **checkpointing))
    return steps


def gang(draw):
    return [step(draw.randint(2, 6), 500, 3000, gang=True)]


def watch(draw):
    return [step(draw.randint(1, 4), 1400, 400, long_running=True)]


MAKERS = [("preview", preview, 12), ("rebuild", rebuild, 2), ("rebuild", gang, 1)]


def cpu_seconds(steps, run_time):
    return sum(each["count"] * each["cpu"] * each["estimate_ms"] for each in steps) * run_time / 1e6


class LoadPlan:
    """The jobs of a run, drawn for all workers' `cores`.

    `run_time` is the tasks' run time as a fraction of their estimates.
    """

    def __init__(self, seed, draw, seconds, cores, run_time):
        self.draw = draw
        self.first_number = (zlib.crc32(str(seed).encode()) << 32) + 1
        self.jobs = []
        self.add_long_running(cores, seconds)
        self.run_time = run_time
        self.add_bursts(seconds, cores)
        self.add_steady(seconds, cores)
        self.add_crashing(random.Random(f"{seed}/crashing"), seconds)
        self.jobs.sort(key=lambda job: job.plan.at)

    def add(self, kind, steps, at, cancel_after=None):
        draw = self.draw
        again = draw.uniform(0.5, 6) if draw.random() < 0.12 else None
        if cancel_after is None and draw.random() < 0.08:
            cancel_after = draw.uniform(0, 3)
        payload = "flaky" if kind == "rebuild" and draw.random() < 0.15 else "a job"
        body = {"spec": payload, "phases": steps}
        number = self.first_number + len(self.jobs)
        self.jobs.append(Job(number, KINDS[kind], body, Plan(at, again, cancel_after)))

    def add_long_running(self, cores, seconds):
        left = cores * LONG_RUNNING_SHARE
        while left > 0:
            steps = watch(self.draw)
            left -= steps[0]["count"] * steps[0]["cpu"] / 1000
            # Most long-running jobs are not cancelled before the end of the run.
            cancel = self.draw.uniform(5, seconds) if self.draw.random() < 0.2 else seconds * 10
            self.add("watch", steps, self.draw.uniform(0, seconds * 0.4), cancel)

    def add_bursts(self, seconds, cores):
        for _ in range(self.draw.randint(1, 3)):
            at = self.draw.uniform(2, seconds)
            for _ in range(int(cores / self.draw.uniform(3, 12))):
                self.add("preview", preview(self.draw), at + self.draw.uniform(0, 0.3))

        if self.draw.random() < 0.7:
            self.add_queue(self.draw.uniform(2, seconds * 0.7), cores)

    def add_queue(self, at, cores):
        """Adds more jobs at once than the cell has capacity for, so that jobs wait for seconds."""
        budget = cores * QUEUE_SECONDS * self.draw.uniform(0.5, 1.5)
        while budget > 0:
            steps = rebuild(self.draw)
            budget -= cpu_seconds(steps, self.run_time)
            self.add("rebuild", steps, at + self.draw.uniform(0, 1.0))

    def add_steady(self, seconds, cores):
        budget = cores * seconds * LOAD_SHARE * self.draw.uniform(0.3, 1.0)
        while budget > 0:
            kind, make, _ = self.draw.choices(MAKERS, [weight for *_, weight in MAKERS])[0]
            steps = make(self.draw)
            budget -= cpu_seconds(steps, self.run_time)
            self.add(kind, steps, self.draw.uniform(0.5, seconds))

    def add_crashing(self, draw, seconds):
        """Adds jobs whose first task crashes each worker that starts the task.

        These jobs are drawn from a random generator of their own.
        """
        for _ in range(draw.choice([0, 0, 1, 2, 4])):
            steps = draw.choice([preview, rebuild, gang, watch])(draw)
            if draw.random() < 0.3 and not steps[0].get("gang"):
                steps[0]["speculative"] = True
            number = self.first_number + len(self.jobs)
            body = {"spec": "crashing", "phases": steps}
            plan = Plan(draw.uniform(1, seconds * 0.8), None, None)
            self.jobs.append(Job(number, KINDS["preview"], body, plan))

    def describe(self):
        again = sum(job.plan.again_after is not None for job in self.jobs)
        lasting = sum(job.long_running for job in self.jobs)
        text = json.dumps([[job.id, job.plan.at, job.body] for job in self.jobs])
        return (f"{len(self.jobs)} jobs, {lasting} that last, {again} sent again after their 2xx "
                f"(digest {zlib.crc32(text.encode()):08x})")
