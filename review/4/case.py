# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The owner is killed while peers ask the advice service for it; it comes back under its name.

Whether an answer meets a call of the new process with the same number depends on the order in which
the instances find each other, so up to ten cells are started one after the other.
"""
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import idle_spans, play, route, trouble, wait  # noqa: E402

# The advice policy and the tasks of `live-watch` in the site file; 40 tasks, one a worker.
ADVICE = {"decide_ms": 450.0, "each_ms": 6.5, "valid_ms": 2500}
WIDTH = 40
RESTART_S = 0.5  # "After a short delay, a process that ends or is killed is started again"
BODY = {"spec": "watch", "phases": [{"count": WIDTH, "cpu": 1000, "mem_mb": 1000, "estimate_ms": 400,
                                     "long_running": True, "anti_affinity": 1}]}


def jobs_of(letter, count):
    return [f"{letter}{number:015x}" for number in range(1, count + 1)]


def permits(step, worker):
    """The policy: jobs "a..." may run on workers with an even number, jobs "b..." on the others."""
    return (int(worker.removeprefix("i-"), 16) % 2 == 0) == step.startswith("a")


def script(cell):
    cell.plan = lambda task, worker: (None, None)  # until it is stopped
    cell.policy_of = lambda job: ADVICE
    cell.permits = permits
    cell.start([route("r-1", "/watchers/", 1, advice=ADVICE, target_latency_ms=2500),
                route("r-2", "/urgent/", 0, advice=ADVICE, target_latency_ms=2500)])
    wait(2)
    owner = cell.owner()
    front = next(name for name in cell.names if name != owner)
    first, second = jobs_of("a", 4), jobs_of("b", 5)
    paths = {**{job: "/watchers/" + job for job in first},
             **{job: "/urgent/" + job for job in second}}
    for job in first:
        cell.http(front, "POST", paths[job], body=BODY)
    until = cell.t() + 5
    while not cell.advice_calls:
        if cell.t() > until:
            raise RuntimeError("the cell does not work")
        wait(0.005)
    wait(0.02)
    if trouble() != "0":
        cell.signal(owner, signal.SIGKILL)
    killed = cell.t()
    for job in second:
        cell.http(front, "POST", paths[job], body=BODY)
    if trouble() != "0":
        wait(max(0.0, RESTART_S - (cell.t() - killed)))
        cell.start_instance(owner)
    until = cell.t() + 6
    while cell.t() < until:
        if all(len(cell.running(job)) == WIDTH for job in paths):
            cell.record("script: all tasks of all jobs run")
            return []
        wait(0.1)
    since = cell.t()
    wait(10)  # a task that lasts may be away for 6 s and 3 s more
    broken = []
    for job, path in paths.items():
        state = cell.state(path)
        running = len(cell.running(job))
        if state in ("queued", "active") and running < WIDTH:
            idle = idle_spans(cell, job, since, cell.t())
            broken.append(f"LOST: job {job} is {state} and has {running} of its {WIDTH} tasks running "
                          f"{cell.t() - killed:.0f} s after the owner was killed; nothing of it ran "
                          f"for {idle:.1f} s of calm")
    foreign = [each for each in cell.rejected if each[3] == "ticket"]
    cell.record(f"script: running {[(job, len(cell.running(job))) for job in paths]}; "
                f"{len(foreign)} starts rejected for their tickets")
    return broken


play(sys.argv[1], script, rounds=10, instances=6, workers=100)
