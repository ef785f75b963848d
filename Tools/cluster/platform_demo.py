# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The demo: a whole yard on a stand-in of the users' platform, with troubles, every run judged."""
import argparse
import json
import subprocess
import sys
import threading
import time

from cluster import ROOT, YARDHILL
from platform_cell import PlatformCell

SECONDS = 24
FIRST_PORTS = {"periyar": 23000, "thies": 24000}


def kill_owner(cell):
    name = cell.owner()
    cell.kill(name)
    cell.wait_end(name)
    cell.start_instance(name)
    return f"{name}, which owned the partition, was killed and started again"


def crash_worker(cell):
    cell.admin("POST", "/workers/3/crash")
    return "a worker crashed"


def replace_worker(cell):
    cell.admin("POST", "/workers/3/replace")
    return "a new worker came in its place"


def drain_worker(cell):
    cell.admin("POST", "/workers/5/drain")
    return "a worker is about to leave"


def silence_store(cell):
    cell.admin("PUT", "/store/silent")
    return "the store no longer answers"


def restore_store(cell):
    cell.admin("PUT", "/store/works")
    return "the store answers again"


def stop_owner(cell):
    name = cell.owner()
    cell.processes[name].terminate()
    return f"{name}, which owned the partition, was stopped as planned"


TROUBLES = [(4, kill_owner), (8, crash_worker), (10, drain_worker), (11, replace_worker),
            (14, silence_store), (15.5, restore_store), (19, stop_owner)]


def run_troubles(cell, began, events):
    for at, trouble in TROUBLES:
        time.sleep(max(0.0, began + at - time.monotonic()))
        what = trouble(cell)
        events.append((time.monotonic() - began, what))
        print(f"  {events[-1][0]:5.1f} s  {what}", flush=True)


def register(cell, seconds):
    """Registers all planned jobs with the judge; returns their number."""
    plan = cell.run("job", "plan", "--yard", cell.yard_file, "--seconds", seconds)
    for line in plan.stdout.splitlines():
        job = json.loads(line)
        cell.admin("POST", f"/jobs/{job['id']}", json.loads(job["body"]))
    return len(plan.stdout.splitlines())


def print_costs(cell, seconds):
    report = cell.report()
    print(f"\n{report['starts']} starts, {report['store_calls']} calls to the store, "
          f"{report['worker_calls']} to workers")
    print(f"{'instance':<14}{'processor':>10}{'resident':>12}")
    for name in cell.instances:
        if cell.lives(name):
            used, resident = cell.process_cost(name)
            print(f"{name:<14}{used / seconds:>9.1%} {resident / 1024:>8.1f} MiB")


def run(yard, each):
    with PlatformCell(yard, FIRST_PORTS[yard]) as cell:
        print(f"starting {yard}: {len(cell.instances)} instances, {cell.workers} workers")
        cell.start()
        jobs = register(cell, SECONDS)
        print(f"{jobs} jobs in {SECONDS} s")
        events = []
        began = time.monotonic()
        troubles = threading.Thread(target=run_troubles, args=(cell, began, events), daemon=True)
        troubles.start()
        arguments = ["job", "load", "--to", cell.addresses(), "--yard", cell.yard_file,
                     "--seconds", SECONDS]
        result = cell.run(*arguments, *(["--each", each] if each else []))
        troubles.join()
        print("\n" + result.stdout, end="")
        print_costs(cell, time.monotonic() - began)
        violations = cell.report()["violations"]
        for violation in violations:
            print("BROKEN: " + violation)
        if result.returncode != 0:
            print("not every job was served; " + result.stderr[-500:])
    if each:
        marks = [f"{at:.1f}={what}" for at, what in events]
        subprocess.run([ROOT / "Tools/plot-load", each, each + ".svg", *marks], check=True)
        print(f"drawn: {each}.svg")
    right = result.returncode == 0 and not violations
    print("everything checked: " + ("all is right" if right else "something is off"))
    return 0 if right else 1


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--yard", choices=sorted(FIRST_PORTS), default="periyar")
    parser.add_argument("--each", help="write a line for each job here, and draw them beside it")
    arguments = parser.parse_args()
    if not YARDHILL.exists():
        sys.exit("run Tools/demo, which builds first")
    sys.exit(run(arguments.yard, arguments.each))


if __name__ == "__main__":
    main()
