# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""One answer of a worker to a start is lost; the worker ends some 100 short tasks a second."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import play, route, trouble, wait  # noqa: E402

JOBS, TASKS, RUN_S = 80, 36, 0.5
SPACING_S = 0.33


def job_id(number):
    return f"{0xa000 + number:016x}"


def starts_after_done(cell):
    """Starts of tasks of which a run had ended `done`; that end was taken note of."""
    noted = {(task, run) for _, _, task, run, how in cell.noted if how == "done"}
    done = {}
    for when, _, task, run, how in cell.ends:
        if how == "done" and (task, run) in noted:
            done.setdefault(task, (when, run))
    return [(when, worker, task, run, *done[task]) for when, worker, task, run in cell.runs
            if task in done and when > done[task][0]]


def script(cell):
    cell.plan = lambda task, worker: (RUN_S, "done")
    worker = cell.workers[9]
    worker.kind = "b"  # the others are of kind "a"
    cell.start([route("r-1", "/previews/", 0, target_latency_ms=250, stretch=1.5)])
    # 55 of the tasks fit on the one worker of the kind: up to 110 ends a second.
    body = {"spec": "preview", "phases": [{"count": TASKS, "cpu": 290, "mem_mb": 400,
                                           "estimate_ms": 500, "requirements": "b"}]}
    accepted = []
    for number in range(JOBS):
        if number == 10 and trouble() != "0":
            worker.answers_to_lose = 1
        if cell.submit("/previews/" + job_id(number), body) == 200:
            accepted.append(job_id(number))
        wait(SPACING_S)
    until = cell.t() + 40
    open_jobs = accepted
    while open_jobs and cell.t() < until:
        open_jobs = [job for job in open_jobs if cell.state("/previews/" + job) != "completed"]
        wait(1)
    wait(3)
    again = starts_after_done(cell)
    cell.record(f"script: {len(accepted)} jobs accepted, {len(open_jobs)} not completed; "
                f"{len(cell.runs)} starts of {len(accepted) * TASKS} tasks, {len(again)} of them "
                f"after an end `done` that was taken note of; "
                f"{len([each for each in cell.ends if each[4] == 'lapsed'])} lapsed")
    broken = []
    if again:
        when, worker_id, task, run, ended, first = again[0]
        broken.append(f"TWICE: {len(again)} starts after an end `done`; the first: task {task}, run "
                      f"{first} ended `done` at {ended:.3f} s and was taken note of; run {run} began "
                      f"at {when:.3f} s on {worker_id}")
    return broken


play(sys.argv[1], script, instances=6, workers=10)
