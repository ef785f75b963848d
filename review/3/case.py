# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""A new configuration replaces a route with accepted jobs; then the owner's process is killed.

TROUBLE=config and TROUBLE=kill play one of the two disruptions alone.
"""
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import FINISH_S, idle_spans, play, route, trouble, wait  # noqa: E402

JOB, LASTING, LATER = "00000000000000a1", "00000000000000a2", "00000000000000a3"


def plan(task, worker):
    if task.startswith(LASTING):
        return None, None  # until it is stopped or fails
    return (6.0, "done") if task.startswith(JOB + ".0.0.") else (0.5, "done")


def script(cell):
    cell.plan = plan
    previews = route("r-2", "/previews/", 0)
    cell.start([route("r-1", "/rebuilds/", 2), previews])
    step = {"count": 4, "cpu": 2700, "mem_mb": 3900}
    cell.submit("/rebuilds/" + JOB, {"spec": "rebuild", "phases": [
        {**step, "estimate_ms": 6000}, {**step, "estimate_ms": 500, "since_rev": [0]}]})
    accepted = cell.t()
    wait(1)
    if len(cell.running(JOB)) != 4:
        raise RuntimeError("the cell does not work")
    if trouble() in ("1", "config"):
        # "Versions rise by uneven steps, changing time-outs and adding and removing routes."
        cell.apply(4, [route("r-3", "/rebuilds/", 2), previews])
    wait(3)
    if trouble() in ("1", "kill"):
        owner = cell.owner()
        cell.signal(owner, signal.SIGKILL)
        wait(0.5)
        cell.start_instance(owner)
    while cell.running(JOB) and cell.t() < accepted + 20:  # the first step runs to its end
        wait(0.1)
    first_step_done = cell.t()
    # The route's path goes on working, and there is room.
    cell.submit("/rebuilds/" + LATER, {"spec": "rebuild", "phases": [{**step, "estimate_ms": 500}]})
    wait(FINISH_S)
    now = cell.t()
    state = cell.state("/rebuilds/" + JOB)
    later = cell.state("/rebuilds/" + LATER)
    idle = idle_spans(cell, JOB, first_step_done, now)
    cell.record(f"script: job {JOB} is {state}, nothing of it ran for {idle:.1f} s; "
                f"job {LATER}, handed in after it at the same path, is {later}")
    broken = []
    if state != "completed" and idle > 3:
        broken.append(f"LOST: job {JOB} is {state} at {now:.1f} s; its first step ended at "
                      f"{first_step_done:.1f} s, and for {idle:.1f} s nothing of it has run, "
                      f"although the second step's turn has come and all workers are idle")
    return broken


play(sys.argv[1], script, instances=6, workers=12)
