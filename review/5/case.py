# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The worker on which a gang runs crashes twice; the gang never starts again."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import FINISH_S, idle_spans, play, route, trouble, wait  # noqa: E402

JOB, LATER = "00000000000000a1", "00000000000000a2"
MEMBERS = 4
DOWN_S = 4.5  # `for_s` of `srv_crash` in the site file; share 0.1 of its 0.14
CRASHES = 2


def script(cell):
    cell.plan = lambda task, worker: (4.8, "done")
    worker = cell.workers[9]
    worker.kind = "b"  # the others are of kind "a"
    cell.start([route("r-1", "/rebuilds/", 2)])
    job = {"spec": "rebuild", "phases": [{"count": MEMBERS, "cpu": 1300, "mem_mb": 2300,
                                          "estimate_ms": 4800, "gang": True, "requirements": "b"}]}
    cell.submit("/rebuilds/" + JOB, job)
    wait(2)
    if len(cell.running(JOB)) != MEMBERS:
        raise RuntimeError("the cell does not work")
    if trouble() != "0":
        for _ in range(CRASHES):
            cell.in_loop(worker.crash)
            wait(DOWN_S)
            worker = cell.do(worker.restart())
            until = cell.t() + 10
            while len(cell.running(JOB)) < MEMBERS and cell.t() < until:
                wait(0.05)
            wait(2)
    calm_since = cell.t()
    wait(FINISH_S)
    cell.submit("/rebuilds/" + LATER, job)
    wait(FINISH_S)
    state, later = (cell.state("/rebuilds/" + each) for each in (JOB, LATER))
    idle = idle_spans(cell, JOB, calm_since, cell.t())
    cell.record(f"script: job {JOB} is {state}; in {2 * FINISH_S} s of calm nothing of it ran for "
                f"{idle:.1f} s; the same job, handed in then, is {later}")
    if state != "completed" and idle > 3:
        return [f"LOST: job {JOB} is {state}; for {idle:.1f} s of calm nothing of it ran, although "
                f"there is room for it twice over (a later job of the same kind is {later})"]
    return []


play(pathlib.Path(__file__).parent, script, instances=6, workers=10)
