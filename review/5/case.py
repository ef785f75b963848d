# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""One of two workers of a kind crashes and comes back as one of another kind."""
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import FINISH_S, idle_spans, play, route, trouble, wait  # noqa: E402

JOB, LATER = "00000000000000a1", "00000000000000a2"
DOWN_S = 4.5  # `for_s` of `srv_crash` in the site file; share 0.1 of its 0.14


def script(cell):
    cell.plan = lambda task, worker: (0.8, "done")
    for worker in cell.workers[8:]:
        worker.kind = "b"  # the others are of kind "a"
    cell.record(f"script: workers of kind b: "
                f"{[(each.id, 'zone ' + each.zone) for each in cell.workers[8:]]}")
    cell.start([route("r-1", "/previews/", 0, target_latency_ms=250, stretch=1.5)])
    job = {"spec": "preview", "phases": [{"count": 6, "cpu": 1300, "mem_mb": 2300,
                                          "estimate_ms": 800, "requirements": "b"}]}
    cell.submit("/previews/" + JOB, job)
    until = cell.t() + 3
    while len(cell.running(JOB)) < 6:
        if cell.t() > until:
            raise RuntimeError("the cell does not work")
        wait(0.02)
    wait(0.3)
    worker = next(each for each in cell.workers if each.running)
    if trouble() != "0":
        cell.in_loop(worker.crash)
        wait(DOWN_S)
        worker.kind = "a"  # "a new incarnation may be of a different kind, even at the same address"
        cell.do(worker.restart())
    wait(12)  # longer than a lease (10 s at most): nothing of the crashed life can run any more
    begin = cell.t()
    cell.submit("/previews/" + LATER, job)
    wait(FINISH_S)
    state, later = (cell.state("/previews/" + each) for each in (JOB, LATER))
    idle = idle_spans(cell, JOB, begin, cell.t())
    cell.record(f"script: job {JOB} is {state}; in the last {FINISH_S} s nothing of it ran for "
                f"{idle:.1f} s; the same job, handed in then, is {later}")
    if state != "completed" and idle > 3:
        return [f"LOST: job {JOB} is {state}; for {idle:.1f} s nothing of it ran, although the other "
                f"worker of the kind is idle (a later job of the same kind is {later})"]
    return []


play(sys.argv[1], script, instances=6, workers=10)
