# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""A client hands in one job that runs many times; its progress does not fit into a row."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
from case import FINISH_S, idle_spans, play, route, trouble, wait  # noqa: E402

LARGE = "00000000000000a1"
ORDINARY = {"spec": "preview", "phases": [{"count": 4, "cpu": 1000, "mem_mb": 500,
                                           "estimate_ms": 300}]}


def large_job():
    # The largest shape of the sheet's `site-rebuild`: 5 steps of 52 tasks, each 4.5 s (`every_s`).
    # 260 times, which is for 20 minutes. Without trouble 8 times, the site file's `times`.
    repeats = 260 if trouble() != "0" else 8
    steps = [{"count": 52, "cpu": 100, "mem_mb": 50, "estimate_ms": 300,
              **({"since_rev": [number - 1]} if number else {})} for number in range(5)]
    return {"spec": "rebuild", "phases": steps, "repeat_count": repeats,
            "start_at_ms": int(time.time() * 1000) + 2000, "interval_ms": 4500}


def script(cell):
    cell.start([route("r-1", "/rebuilds/", 2), route("r-2", "/previews/", 0)])
    before = [f"00000000000000b{n}" for n in range(3)]
    after = [f"00000000000000c{n}" for n in range(6)]
    for job in before:
        cell.submit("/previews/" + job, ORDINARY)
    wait(3)
    if [cell.state("/previews/" + job) for job in before] != ["completed"] * len(before):
        raise RuntimeError("the cell does not work")
    if cell.submit("/rebuilds/" + LARGE, large_job()) != 200:
        cell.record("script: the large job was refused; nothing to check")
    wait(4)
    accepted = {}
    for job in after:
        if cell.submit("/previews/" + job, ORDINARY) == 200:
            accepted[job] = cell.t()
        wait(1)
    wait(FINISH_S)
    broken = []
    now = cell.t()
    for job, when in accepted.items():
        state = cell.state("/previews/" + job)
        idle = idle_spans(cell, job, when, now)
        if state != "completed" and idle > 3:
            broken.append(f"LOST: job {job}, accepted at {when:.1f} s, is {state} at {now:.1f} s; "
                          f"for {idle:.1f} s nothing of it ran, and nothing else ran either")
    for name in cell.names:
        cell.record(f"script: {name} owns the cell: {name == cell.owner()}")
    cell.record(f"script: largest row offered to the store {cell.store.largest_value} bytes, "
                f"{cell.store.refused_as_too_large} transactions refused as too large")
    return broken


play(pathlib.Path(__file__).parent, script, instances=6, workers=12)
