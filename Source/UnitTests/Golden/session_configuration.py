# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Operators change the configuration concurrently, replies are lost, and an instance is replaced.

The replaced instance starts while the platform is unreachable, and must not revert to an older
version.
"""
import json
import signal
import sys

from golden import Session, http, one_zone, runs_of, wait_until


def version_of(cluster, name):
    status, _, body = http("GET", cluster.url(name) + "/v1/config")
    return json.loads(body)["version"] if status == 200 else None


def main():
    session = Session("session_configuration")
    with one_zone(port_offset=1300, workers=4) as cluster:
        names = list(cluster.instances)
        watcher = cluster.workloads["workloads"][-1]

        def apply(through, replicas, *more):
            watcher["replicas"] = replicas
            cluster.write_files()
            result = cluster.run("apply", "--url", cluster.url(through), *more, *cluster.files)
            session.note(f"> apply {replicas} replicas {' '.join(more)}")
            session.note(f"< {result.returncode} {result.stdout.strip()}{result.stderr.strip()}")

        def settled(version, among):
            wait_until("the version everywhere",
                       lambda: all(version_of(cluster, name) == version for name in among))
            session.note(f"version {version} is in force at {len(among)} instances")

        session.note("# two operators start from version 1: one wins, the other sees what differs")
        apply(names[0], 4, "--base", "1")
        apply(names[1], 5, "--base", "1")
        settled(2, names)
        session.note("# the same apply again, as after a lost answer")
        apply(names[2], 3, "--base", "2", "--apply-id", "mine")
        apply(names[1], 3, "--base", "2", "--apply-id", "mine")
        session.note("# the answer of the write itself is lost")
        cluster.set_faults(cluster.platform_url(), lose_answers=1)
        apply(names[0], 2, "--base", "3")
        settled(4, names)
        session.note("# mistakes are refused whole")
        apply(names[0], -1)
        session.note("# an instance is replaced while the platform is cut off: it learns from peers")
        cluster.set_faults(cluster.platform_url(), cut=names)
        cluster.kill(names[0], signal.SIGKILL)
        cluster.wait_end(names[0])
        cluster.start_instance(names[0])
        settled(4, names)
        session.note("# a worker is drained by command")
        cluster.set_faults(cluster.platform_url(), cut=[])
        drained = cluster.run("drain", "worker", "--url", cluster.url(names[1]), "kakkanad-1")
        session.note(f"< {drained.returncode} {drained.stdout.strip()}")
        settled(5, names)
        before = sum(1 for run in cluster.record() if run["worker"] == "kakkanad-1")
        for number in range(30):
            http("POST", cluster.url(names[number % 3]) + "/v1/tasks",
                 {"workload": "preview", "payload": '{"run_us": 1000}'})
        after = sum(1 for run in cluster.record() if run["worker"] == "kakkanad-1")
        session.note(f"new starts there: {after - before}; previews: "
                     f"{len(runs_of(cluster, 'preview'))}")
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
