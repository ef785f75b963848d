# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""All instances are stopped with SIGTERM and restarted, one by one, with requests in flight."""
import concurrent.futures
import signal
import sys

from golden import Session, http, one_zone, runs_of, wait_until


def main():
    session = Session("session_rolling_restart")
    with one_zone(port_offset=1200) as cluster:
        names = list(cluster.instances)
        with concurrent.futures.ThreadPoolExecutor(40) as pool:
            for turn, name in enumerate(names):
                session.note(f"# requests run through {name}; it is told to stop")
                requests = [{"workload": workload, "key": f"t{turn}-{number}",
                             "payload": '{"run_us": 700000, "bytes": 64}'}
                            for workload in ("preview", "release-rebuild") for number in range(6)]
                sent = [pool.submit(http, "POST", cluster.url(name) + "/v1/tasks", request)
                        for request in requests]
                wait_until("all to run", lambda: sum(
                    1 for workload in ("preview", "release-rebuild")
                    for task in runs_of(cluster, workload) if f"/t{turn}-" in task) == len(requests))
                cluster.kill(name, signal.SIGTERM)
                answers = [future.result() for future in sent]
                session.note(f"answers: {sorted({(answer[0], len(answer[2])) for answer in answers})}"
                             f" of {len(answers)}")
                session.note(f"exit code: {cluster.wait_end(name)}")
                cluster.start_instance(name)
                cluster.wait_ready(name)
        session.note("# each ran once")
        for workload in ("preview", "release-rebuild"):
            session.note(f"{workload}: {sorted(set(runs_of(cluster, workload).values()))} runs each")
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
