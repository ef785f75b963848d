# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""One worker crashes with many tasks of one job; the job's progress no longer fits into a row.

TROUBLE=times plays another way to the same end, without a crash: a job that runs many times.
"""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import FINISH_S, idle_spans, play, route, trouble, wait  # noqa: E402

LARGE = "00000000000000a1"
DOWN_S = 4.5  # `for_s` of `srv_crash` in the site file; share 0.1 of its 0.14
TASKS, RUN_S = 1600, 8.0
ORDINARY = {"spec": "preview", "phases": [{"count": 4, "cpu": 1000, "mem_mb": 500,
                                           "estimate_ms": 300}]}


def many_tasks():
    # 1,600 tasks of a hundredth of a core: one worker of 16 cores carries them.
    return {"spec": "rebuild", "phases": [{"count": TASKS, "cpu": 10, "mem_mb": 10,
                                           "estimate_ms": int(RUN_S * 1000),
                                           "requirements": "b"}]}


def many_times(repeats):
    # The largest shape of the sheet's `site-rebuild`: 5 steps of 52 tasks, each 4.5 s (`every_s`).
    steps = [{"count": 52, "cpu": 100, "mem_mb": 50, "estimate_ms": 300,
              **({"since_rev": [number - 1]} if number else {})} for number in range(5)]
    return {"spec": "rebuild", "phases": steps, "repeat_count": repeats,
            "start_at_ms": int(time.time() * 1000) + 2000, "interval_ms": 4500}


def play_large_job(cell, worker):
    if trouble() == "times":
        cell.submit("/rebuilds/" + LARGE, many_times(260))
        wait(4)
        return
    cell.submit("/rebuilds/" + LARGE, many_tasks())
    until = cell.t() + 15
    while len(cell.running(LARGE)) < TASKS:
        if cell.t() > until:
            raise RuntimeError(f"only {len(cell.running(LARGE))} tasks run")
        wait(0.1)
    if trouble() != "0":
        cell.in_loop(worker.crash)
        wait(DOWN_S)
        cell.do(worker.restart())


def script(cell):
    cell.plan = lambda task, worker: (RUN_S if task.startswith(LARGE) and trouble() != "times"
                                      else 0.3, "done")
    worker = cell.workers[9]
    worker.kind = "b"  # the others are of kind "a"
    cell.start([route("r-1", "/rebuilds/", 2), route("r-2", "/previews/", 0)])
    before = [f"00000000000000b{n}" for n in range(3)]
    after = [f"00000000000000c{n}" for n in range(6)]
    for job in before:
        cell.submit("/previews/" + job, ORDINARY)
    wait(3)
    if [cell.state("/previews/" + job) for job in before] != ["completed"] * len(before):
        raise RuntimeError("the cell does not work")
    play_large_job(cell, worker)
    accepted = {}
    for job in after:
        if cell.submit("/previews/" + job, ORDINARY) == 200:
            accepted[job] = cell.t()
        wait(1)
    wait(FINISH_S)
    broken = []
    now = cell.t()
    states = {job: cell.state("/previews/" + job) for job in accepted}
    for job, when in accepted.items():
        idle = idle_spans(cell, job, when, now)
        if states[job] != "completed" and idle > 3:
            broken.append(f"LOST: job {job}, accepted at {when:.1f} s, is {states[job]} at "
                          f"{now:.1f} s; for {idle:.1f} s nothing of it ran")
    cell.record(f"script: later jobs {states}; the large one is {cell.state('/rebuilds/' + LARGE)}, "
                f"{len([each for each in cell.runs if each[0] > now - FINISH_S])} starts in the "
                f"last {FINISH_S} s")
    cell.record(f"script: largest row offered to the store {cell.store.largest_value} bytes, "
                f"{cell.store.refused_as_too_large} transactions refused as too large")
    return broken


play(sys.argv[1], script, instances=6, workers=12)
