# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The store is down for some seconds while one worker ends more than 500 tasks."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import FINISH_S, play, route, trouble, wait  # noqa: E402

JOB, TASKS, RUN_S = "00000000000000a1", 2000, 0.5
DOWN_S = 4.5  # `for_s` of `platform_down` in the site file


def set_down(cell, down):
    cell.store.down = down
    cell.store.notify()
    cell.record(f"platform: the store is {'down, it answers 503' if down else 'back'}")


def script(cell):
    cell.plan = lambda task, worker: (RUN_S, "done")
    cell.workers[9].kind = "b"  # the others are of kind "a"
    cell.start([route("r-1", "/previews/", 0)])
    # 110 tasks at a time on the one worker of the kind, so about 220 starts a second.
    cell.submit("/previews/" + JOB, {"spec": "preview", "phases": [
        {"count": TASKS, "cpu": 145, "mem_mb": 200, "estimate_ms": 500, "requirements": "b"}]})
    wait(2)
    if not cell.runs:
        raise RuntimeError("the cell does not work")
    if trouble() != "0":
        cell.in_loop(set_down, cell, True)
        wait(DOWN_S)
        cell.in_loop(set_down, cell, False)
    until = cell.t() + 20
    state = None
    while cell.t() < until and state != "completed":
        wait(0.5)
        state = cell.state("/previews/" + JOB)
    wait(2)
    done, broken = {}, []
    for when, worker, task, run, how in cell.ends:
        if how == "done":
            done.setdefault(task, (when, run))
    noted = {(task, run) for _, _, task, run, how in cell.noted if how == "done"}
    for when, worker, task, run in cell.runs:
        if task in done and when > done[task][0] and (task, done[task][1]) in noted:
            broken.append(f"task {task}: run {done[task][1]} ended `done` at {done[task][0]:.3f} s "
                          f"and was taken note of; run {run} began at {when:.3f} s on {worker}")
    cell.record(f"script: job {JOB} is {state}; {len(cell.runs)} starts of {TASKS} tasks, "
                f"{len(broken)} of them after an end `done`")
    if broken:
        return [f"TWICE: {len(broken)} starts after an end `done`; the first: {broken[0]}"]
    if state != "completed":
        return [f"LOST: the job is {state}"]
    return []


play(pathlib.Path(__file__).parent, script, instances=6, workers=10)
