# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The demo: a whole yard under a mixed load, every answer and every run checked."""
import argparse
import collections
import concurrent.futures
import json
import sys
import time

from cluster import Cluster, http, wait_until, YARDHILL

LOADS = {
    # yard: (workload, count, rate, run ms, result bytes, keyed)
    "periyar": [("preview", 300, 60, 20, 20000, False), ("nightly-rebuild", 60, 20, 300, 1000, True),
                ("release-rebuild", 30, 10, 200, 1000, True), ("manual-set", 1, 1, 300, 5000, True)],
    "thies": [("cue", 300, 60, 20, 2000, False), ("episode-burn", 60, 20, 300, 1000, True),
              ("hearing-burn", 30, 10, 200, 1000, True), ("broadcast-set", 1, 1, 300, 5000, True)],
}
SERVICES = {"periyar": ("watcher", 6), "thies": ("alignment-index", 3)}


class Checks:
    """Collects the failed checks."""

    def __init__(self):
        self.problems = []

    def that(self, holds, what):
        if not holds:
            self.problems.append(what)


def send_load(cluster, load):
    workload, count, rate, run_ms, size, keyed = load
    words = ["load", "--url", cluster.urls(), "--workload", workload, "--count", count, "--rate",
             rate, "--run", run_ms, "--bytes", size, "--json"]
    if keyed:
        words += ["--keyed", "demo"]
    result = cluster.run(*words)
    line = result.stdout.strip().splitlines()[-1] if result.stdout.strip() else "{}"
    return json.loads(line), result.stderr


def send_gang(cluster, workload, members, checks):
    """Sends a gang task, whose reply must be its members' results one after the other."""
    payload = json.dumps({"run_us": 300000, "bytes": 500})
    status, headers, body = http("POST", cluster.url(next(iter(cluster.instances))) + "/v1/tasks",
                                 {"workload": workload, "key": "demo-gang", "payload": payload})
    checks.that(status == 200, f"{workload}: status {status}: {body[:200]!r}")
    checks.that(len(body) == members * 500, f"{workload}: {len(body)} bytes of {members * 500}")
    return headers


def packing(cluster):
    """Returns the fraction of all workers' processor capacity that is currently granted."""
    usage = cluster.usage().values()
    granted = sum(zone["granted"]["cpu_millis"] for zone in usage)
    return granted / sum(zone["capacity"]["cpu_millis"] for zone in usage)


def check_runs(cluster, results, checks):
    runs = cluster.record()
    done = collections.Counter((run["task"], run["member"]) for run in runs
                               if run.get("result") == "done")
    twice = [task for task, count in done.items() if count > 1]
    checks.that(not twice, f"ran to the end more than once: {twice[:5]}")
    for workload, figures in results.items():
        counted = sum(1 for task, _ in done if task.startswith(workload + "/"))
        checks.that(counted == figures["sent"],
                    f"{workload}: the workers ran {counted} tasks of {figures['sent']}")
    for zone, usage in cluster.usage().items():
        checks.that(usage["overcommitted"] == 0, f"{zone}: a worker was given more than it has")
    service, replicas = SERVICES[cluster.yard]
    running = sum(1 for run in runs if run["task"].startswith(service + "/") and "result" not in run)
    checks.that(running == replicas, f"{service}: {running} replicas run of {replicas}")


def print_table(cluster, results, costs, seconds, packed, load_before):
    print(f"\n{'workload':<18}{'sent':>6}{'done':>6}{'wait p50':>12}{'wait p99':>12}")
    for workload, figures in results.items():
        print(f"{workload:<18}{figures['sent']:>6}{figures['outcomes'].get('done', 0):>6}"
              f"{figures['wait_p50_us'] / 1000:>9.1f} ms{figures['wait_p99_us'] / 1000:>9.1f} ms")
    tasks = sum(figures["sent"] for figures in results.values())
    load = {name: value - load_before[name] for name, value in cluster.store_load().items()}
    print(f"\npacking: up to {packed:.0%} of all processors granted at once")
    print(f"store: {load['writes'] / tasks:.3f} writes, {load['rows'] / tasks:.3f} rows, "
          f"{load['reads'] / tasks:.3f} reads a task; {load['limited']} calls over the limit")
    print(f"\n{'instance':<16}{'processor':>12}{'resident':>12}")
    for name in cluster.instances:
        used, resident = cluster.process_cost(name)
        print(f"{name:<16}{(used - costs[name][0]) / seconds:>11.1%} {resident / 1024:>8.1f} MiB")


def run_demo(yard):
    checks = Checks()
    with Cluster(yard=yard, port_offset=0 if yard == "periyar" else 500) as cluster:
        cluster.yard = yard
        print(f"starting {yard}: {len(cluster.zones)} zones, {len(cluster.instances)} instances")
        cluster.start()
        service, replicas = SERVICES[yard]
        wait_until("the service to run", lambda: sum(
            1 for run in cluster.record() if run["task"].startswith(service + "/")) >= replicas)
        costs = {name: cluster.process_cost(name) for name in cluster.instances}
        load_before = cluster.store_load()
        began = time.monotonic()
        results, packed = {}, 0.0
        loads = [load for load in LOADS[yard] if load[1] > 1]
        gang = next(load for load in LOADS[yard] if load[1] == 1)
        members = next(workload["members"] for workload in cluster.workloads["workloads"]
                       if workload["name"] == gang[0])
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = {pool.submit(send_load, cluster, load): load[0] for load in loads}
            gang_sent = pool.submit(send_gang, cluster, gang[0], members, checks)
            while not all(future.done() for future in sent):
                packed = max(packed, packing(cluster))
                print(f"  {time.monotonic() - began:5.1f} s: "
                      f"{sum(future.done() for future in sent)} of {len(sent)} loads done")
                time.sleep(0.5)
            gang_sent.result()
        for future, workload in sent.items():
            results[workload], errors = future.result()
            figures = results[workload]
            checks.that(figures.get("wrong_bytes") == 0, f"{workload}: wrong bytes")
            checks.that(figures.get("outcomes") == {"done": figures.get("sent")},
                        f"{workload}: {figures.get('outcomes')} {errors[:300]}")
        seconds = time.monotonic() - began
        print_table(cluster, results, costs, seconds, packed, load_before)
        results[gang[0]] = {"sent": members}
        check_runs(cluster, results, checks)
        if checks.problems:
            for name in cluster.instances:
                sys.stderr.write((cluster.path / f"{name}.log").read_text()[-2000:])
    for problem in checks.problems:
        print("OFF: " + problem)
    print("everything checked: " + ("something is off" if checks.problems else "all is right"))
    return 1 if checks.problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--yard", choices=sorted(LOADS), default="periyar")
    arguments = parser.parse_args()
    if not YARDHILL.exists():
        sys.exit("run Tools/demo, which builds first")
    sys.exit(run_demo(arguments.yard))


if __name__ == "__main__":
    main()
