# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The table service is down: work that needs no table continues, also when the owner dies.

No accepted task or stored record is lost.
"""
import sys

from golden import ZONE, Session, http, one_zone, owner_and_others, runs_of, wait_until


def main():
    session = Session("session_store_outage")
    with one_zone(port_offset=1400) as cluster:
        owner, (entry, _) = owner_and_others(cluster)
        tasks = cluster.url(entry) + "/v1/tasks"
        payload = '{"run_us": 1000, "bytes": 16}'
        # This result is too large for a table row, so it goes to the object store.
        large = '{"run_us": 1000, "bytes": 100000}'
        session.call("POST", tasks, {"workload": "release-rebuild", "key": "before", "payload": large})
        session.call("POST", tasks, {"workload": "nightly-rebuild", "key": "long", "wait": False,
                                     "payload": '{"run_us": 4000000, "bytes": 16}'})
        wait_until("it to run", lambda: runs_of(cluster, "nightly-rebuild"))
        cluster.set_faults(cluster.platform_url(), outage=True)
        session.note("# outage: previews and waited-for repeatable work go on")
        session.call("POST", tasks, {"workload": "preview", "key": "p1", "payload": payload})
        session.call("POST", tasks, {"workload": "nightly-rebuild", "key": "n1", "payload": payload})
        session.note("# what must be kept is refused, with when to come back, and was not run")
        refused = lambda key: http("POST", tasks, {"workload": "release-rebuild", "key": key,
                                                   "payload": payload})[0] == 503
        wait_until("the owner to know", lambda: refused("r1"))
        session.call("POST", tasks, {"workload": "release-rebuild", "key": "r1", "payload": payload})
        session.note(f"runs of it: {runs_of(cluster, 'release-rebuild').get('release-rebuild/r1', 0)}")
        session.note("# the owner dies in the outage: a majority of workers makes the next one")
        cluster.kill(owner)
        wait_until("a new owner", lambda: cluster.owner_of(ZONE) not in (None, owner))
        session.call("POST", tasks, {"workload": "preview", "key": "p2", "payload": payload})
        session.note("# it cannot know which kept tasks there are")
        session.call("POST", tasks, {"workload": "release-rebuild", "key": "before", "payload": large})
        cluster.set_faults(cluster.platform_url(), outage=False)
        session.note("# the table is back: the kept record answers, the accepted task is done")
        wait_until("the records", lambda: http("POST", tasks, {
            "workload": "release-rebuild", "key": "before", "payload": large})[0] == 200)
        session.call("POST", tasks, {"workload": "release-rebuild", "key": "before", "payload": large})
        session.call("POST", tasks, {"workload": "release-rebuild", "key": "r1", "payload": payload})
        wait_until("the long one", lambda: http("GET", tasks + "/nightly-rebuild/long")[0] == 200)
        session.call("GET", tasks + "/nightly-rebuild/long")
        session.note(str(sorted(runs_of(cluster, "release-rebuild").items())))
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
