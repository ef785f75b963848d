# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""What the review's scripts share: routes, exit codes, and the record of the verdict."""
import os
import pathlib
import signal
import sys
import time
import traceback

from standin import Cell

# 10, as an interpreter that fails to start exits with 1; run.sh turns it into 1.
BROKEN, HELD, COULD_NOT_RUN = 10, 0, 2
FINISH_S = 14  # `finish_s` of the sites
MOST_SECONDS = 110  # of a script; 120 are allowed


def trouble():
    return os.environ.get("TROUBLE", "1")


def route(name, prefix, priority=1, **more):
    return {"name": name, "host": "docs.example", "path_prefix": prefix, "kind": "unsafe",
            "timeout_ms": 3000, "target_latency_ms": 1200, "priority": priority,
            "service": "docbuild", "max_attempts": 3, "stretch": 2.2, **more}


def idle_spans(cell, job, begin, end):
    """The longest time within [begin, end] in which no task of the job ran at any worker."""
    runs = [(when, 1) for when, _, task, _ in cell.runs if task.startswith(job + ".")]
    runs += [(when, -1) for when, _, task, _, _ in cell.ends if task.startswith(job + ".")]
    longest, count, since = 0.0, 0, begin
    for when, change in sorted(runs):
        if count == 0 and change > 0 and when > begin:
            longest = max(longest, min(when, end) - since)
        count += change
        if count == 0:
            since = max(begin, when)
    if count == 0:
        longest = max(longest, end - since)
    return longest


def end_in_order(*_):
    """On SIGTERM: leaves through the handlers that end the processes of the cell."""
    raise SystemExit(COULD_NOT_RUN)


def play(record, script, rounds=1, **cell_options):
    """Runs `script(cell)`, which returns the list of broken rules, and exits with the verdict.

    `record`: the file for what was sent, answered and run. With several rounds, each starts a cell
    anew; the first one that breaks a rule is the last one, and so is one that leaves too little
    time for another.
    """
    signal.signal(signal.SIGTERM, end_in_order)
    began = time.monotonic()
    code = HELD
    for number in range(rounds):
        if number and (time.monotonic() - began) * (number + 1) / number > MOST_SECONDS:
            break
        code = play_round(pathlib.Path(record), script, "a" if number else "w", cell_options)
        if code != HELD:
            break
    sys.exit(code)


def play_round(record, script, mode, cell_options):
    cell = None
    try:
        cell = Cell(record, mode=mode, **cell_options)
        cell.record(f"script: TROUBLE={trouble()}")
        broken = script(cell)
        crashed = cell.crashed()
        if crashed:
            broken.append(f"processes ended by themselves: {crashed}")
        for each in broken:
            cell.record(f"BROKEN: {each}")
            print("BROKEN:", each)
        if not broken:
            cell.record("held")
            print("held")
        return BROKEN if broken else HELD
    except Exception:
        traceback.print_exc()
        if cell is not None:
            cell.record("could not run: " + traceback.format_exc())
        return COULD_NOT_RUN
    finally:
        if cell is not None:
            cell.close()


def wait(seconds):
    time.sleep(seconds)
