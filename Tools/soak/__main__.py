# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Real processes on one machine, faults from outside them, promises checked meanwhile.

A seed draws sizes, load and troubles; what the processes make of them also depends on the machine, so
that a run is not exactly repeatable. Exit code 1 if any promise was broken.
"""
import argparse
import concurrent.futures
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

from cell import MOST_INSTANCES, MOST_WORKERS, SoakCell
from callers import Callers
from checks import Watch, check_known, check_logs, settle, stop_all
from ledger import Ledger
from load import LoadPlan
from troubles import Troubles

REGRESSIONS = pathlib.Path(__file__).with_name("regressions.txt")
RUN_TIME = 0.2
CORES_PER_WORKER = 16
# By size: number of caller threads, and the range of troubles per second within a wave.
THREADS = {"small": 8, "dense": 8, "large": 24}
DENSITY = {"small": (0.3, 1.0), "dense": (1.0, 2.5), "large": (0.5, 1.5)}
KNOWN_SECONDS = 20.0


def draw_size(draw, size):
    """Returns (number of instances, number of workers)."""
    if size == "large":
        return draw.randint(30, min(40, MOST_INSTANCES)), draw.randint(250, min(350, MOST_WORKERS))
    return draw.randint(3, 8), draw.randint(6, 24)


class Run:
    def __init__(self, seed, size, seconds):
        self.seed, self.size, self.seconds = seed, size, seconds
        draw = random.Random(f"{seed}/{size}")
        self.instances, self.workers = draw_size(draw, size)
        cores = min(self.workers, 40) * CORES_PER_WORKER  # more load would test nothing new
        self.plan = LoadPlan(seed, draw, seconds, cores, RUN_TIME)
        print(f"seed {seed}, {size}: {self.instances} instances, {self.workers} workers, "
              f"{seconds:.0f} s; {self.plan.describe()}", flush=True)

    def play(self):
        """Runs the soak; returns the summary line and the list of broken guarantees."""
        with SoakCell(self.instances, self.workers, RUN_TIME) as cell:
            cell.start()
            began = time.monotonic()
            ledger = Ledger(began)
            troubles = Troubles(cell, ledger, self.seed, max(2, self.instances // 2),
                                DENSITY[self.size])
            callers = Callers(cell, ledger, THREADS[self.size], self.seed)
            watch = Watch(cell, ledger, troubles, self.seed)
            self.under_load(cell, ledger, troubles, callers, began)
            self.settle_and_check(cell, ledger, callers, watch)
            failures = troubles.failures + callers.failures + watch.failures
            for failure in failures:
                ledger.breaks("SOAK", f"the soak itself failed: {failure}")
            summary = self.summary(cell, ledger, troubles, callers, watch)
            if ledger.broken:
                (cell.path / "soak.txt").write_text(
                    "\n".join([summary, *sorted(troubles.event_lines), *ledger.broken]) + "\n")
                print(f"  logs kept in {cell.keep_directory()}")
            return summary, ledger.broken

    def under_load(self, cell, ledger, troubles, callers, began):
        drawn = troubles.schedule(self.seconds)
        print("  drawn: " + ", ".join(f"{at:.1f} {kind}" for at, kind, _ in drawn), flush=True)
        for job in self.plan.jobs:
            ledger.add(job)
            callers.at(began + job.plan.at, callers.submit, job)
        player = threading.Thread(target=troubles.play, args=(began, drawn), daemon=True)
        player.start()
        time.sleep(max(0.0, began + self.seconds - time.monotonic()))
        player.join()
        troubles.heal()

    def settle_and_check(self, cell, ledger, callers, watch):
        settle(cell, ledger, callers)
        check_known(ledger, callers)
        until = time.monotonic() + KNOWN_SECONDS
        while not callers.idle() and time.monotonic() < until:
            time.sleep(0.2)
        watch.stop()
        watch.look()
        callers.stop()
        ledger.check_refusals(set(cell.admin("GET", "/runs")["started"]))
        stop_all(cell, ledger)
        check_logs(cell, ledger)

    def summary(self, cell, ledger, troubles, callers, watch):
        jobs = ledger.all()
        accepted = sum(job.accepted_at is not None for job in jobs)
        calls, under_stop = callers.calls()
        return (f"seed {self.seed} {self.size}: {self.instances} instances, {self.workers} workers, "
                f"{len(jobs)} jobs, {accepted} accepted, {cell.report()['starts']} starts, "
                f"{len(troubles.event_lines)} troubles, {calls} calls ({under_stop} under SIGTERM), "
                f"{watch.looks['counts']} counts compared, calm {watch.looks['longest_calm']:.0f} s, "
                f"{watch.most_resident:.0f} MiB; {len(ledger.broken)} broken {ledger.by_rule()}")


def regressions():
    """Returns [(seed, size, seconds)] of the once failing runs whose fault is fixed (`mended`)."""
    lines = [line.split("#")[0].split() for line in REGRESSIONS.read_text().splitlines()]
    return [(int(line[0]), line[1], float(line[2])) for line in lines if line and line[3] == "mended"]


def play_all(runs, jobs):
    """Plays each run in its own process, `jobs` at a time; returns the exit codes."""
    def play(run):
        seed, size, seconds = run
        process = subprocess.Popen(
            [sys.executable, str(pathlib.Path(__file__).parent), "--seed", str(seed), "--size", size,
             "--seconds", str(seconds)], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        started.append(process)
        print(process.communicate()[0], end="", flush=True)
        return process.returncode

    started = []
    pool = concurrent.futures.ThreadPoolExecutor(jobs)
    try:
        return list(pool.map(play, runs))
    finally:
        pool.shutdown(wait=False, cancel_futures=True)
        for process in started:
            process.terminate()


def arguments():
    parser = argparse.ArgumentParser(description=__doc__, prog="python3 Tools/soak")
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=int, help="one run")
    which.add_argument("--seeds", help="FIRST,COUNT")
    which.add_argument("--regressions", action="store_true", help="the mended ones")
    parser.add_argument("--seconds", type=float, default=40, help="under load; half a minute more")
    parser.add_argument("--size", choices=THREADS, default="small")
    parser.add_argument("--jobs", type=int, default=1, help="runs at a time")
    return parser.parse_args()


def end(*_):
    sys.exit("ended by a signal")


def main():
    given = arguments()
    signal.signal(signal.SIGTERM, end)  # so that started processes are ended on exit
    if given.seed is not None:
        summary, broken = Run(given.seed, given.size, given.seconds).play()
        print(summary, flush=True)
        return 1 if broken else 0
    runs = regressions()
    if given.seeds:
        first, count = map(int, given.seeds.split(","))
        runs = [(seed, given.size, given.seconds) for seed in range(first, first + count)]
    codes = play_all(runs, given.jobs)
    failed = [f"{seed} {size}" for (seed, size, _), code in zip(runs, codes) if code != 0]
    print(f"{len(runs)} runs, {len(failed)} with broken promises: {', '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
