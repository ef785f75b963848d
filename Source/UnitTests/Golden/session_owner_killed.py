# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The owner and then the entry instance are killed: callers of other instances lose no reply.

The owner gets kill -9 while tasks run; the entry is the instance that took the requests.
"""
import concurrent.futures
import sys

from golden import ZONE, Session, http, one_zone, owner_and_others, runs_of, wait_until


def main():
    session = Session("session_owner_killed")
    with one_zone(port_offset=1100) as cluster:
        owner, (entry, spare) = owner_and_others(cluster)
        payload = '{"run_us": 2000000, "bytes": 100}'
        requests = [{"workload": workload, "key": f"k{number}", "payload": payload}
                    for workload in ("preview", "nightly-rebuild", "release-rebuild")
                    for number in range(4)]
        with concurrent.futures.ThreadPoolExecutor(len(requests)) as pool:
            sent = [pool.submit(http, "POST", cluster.url(entry) + "/v1/tasks", request)
                    for request in requests]
            wait_until("all tasks to run", lambda: sum(
                sum(runs_of(cluster, workload).values())
                for workload in ("preview", "nightly-rebuild", "release-rebuild")) == len(requests))
            cluster.kill(owner)
            session.note("# the owner is killed while all run; their entry is asked for the answers")
            answers = [future.result() for future in sent]
        for request, (status, headers, body) in zip(requests, answers):
            session.note(f"{request['workload']} {request['key']}: {status} "
                         f"{headers.get('Yardhill-Outcome')} {len(body)} bytes")
        session.note("# the entry is killed; the same keys through the last one, the same bytes")
        cluster.kill(entry)
        wait_until("a new owner", lambda: cluster.owner_of(ZONE))
        for request, (_, _, body) in zip(requests, answers):
            status, headers, again = http("POST", cluster.url(spare) + "/v1/tasks", request)
            session.note(f"{request['workload']} {request['key']}: {status} same bytes: "
                         f"{again == body}")
        session.note("# at most once, by the workers' own record")
        session.note(str(sorted(runs_of(cluster, "release-rebuild").items())))
        usage = cluster.usage()[ZONE]
        session.note(f"overcommitted: {usage['overcommitted']}")
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
