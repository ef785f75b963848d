# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Valid and invalid requests of every kind through an instance that does not own the zone."""
import socket
import sys

from golden import Session, http, one_zone, owner_and_others, runs_of, wait_until


def raw(port, text):
    """Sends raw bytes; returns the status line, or an empty text if the connection was closed."""
    with socket.create_connection(("127.0.0.1", port), timeout=30) as connection:
        connection.sendall(text)
        return connection.recv(4096).split(b"\r\n")[0].decode()


def main():
    session = Session("session_requests")
    with one_zone(port_offset=1000, instances=2, workers=4) as cluster:
        owner, (other,) = owner_and_others(cluster)
        url = cluster.url(other)
        tasks = url + "/v1/tasks"
        payload = '{"run_us": 1000, "bytes": 32}'
        session.note("# the same key twice, through both instances: one run, the same bytes")
        first = session.call("POST", tasks, {"workload": "preview", "key": "p1", "payload": payload})
        again = session.call("POST", cluster.url(owner) + "/v1/tasks",
                             {"workload": "preview", "key": "p1", "payload": payload})
        session.note(f"same bytes: {first[2] == again[2]}; runs: {runs_of(cluster, 'preview')}")
        session.note("# the key used for another request")
        session.call("POST", tasks, {"workload": "preview", "key": "p1", "payload": "other"})
        session.note("# not repeatable, kept in the table; not waited for, then asked for")
        session.call("POST", tasks, {"workload": "release-rebuild", "key": "r1", "payload": payload})
        session.call("POST", tasks, {"workload": "nightly-rebuild", "key": "n1", "wait": False,
                                     "payload": payload})
        wait_until("the task to end", lambda: http("GET", tasks + "/nightly-rebuild/n1")[0] == 200)
        session.call("GET", tasks + "/nightly-rebuild/n1")
        session.note("# a megabyte")
        big = '{"run_us": 1000, "bytes": 1048576}'
        session.call("POST", tasks, {"workload": "preview", "key": "big", "payload": big})
        session.note("# cancelled while it runs")
        session.call("POST", tasks, {"workload": "nightly-rebuild", "key": "n2", "wait": False,
                                     "payload": '{"run_us": 60000000}'})
        wait_until("the task to run", lambda: runs_of(cluster, "nightly-rebuild").get(
            "nightly-rebuild/n2"))
        session.call("DELETE", tasks + "/nightly-rebuild/n2")
        session.note("# refused")
        session.call("POST", tasks, {"workload": "nothing"})
        session.call("POST", tasks, {"workload": "watcher"})
        session.call("GET", tasks + "/preview/never-sent")
        session.call("DELETE", tasks + "/preview/never-sent")
        session.call("GET", url + "/nowhere")
        session.call("POST", tasks, {"workload": "preview", "deadline": "soon", "colour": 1})
        session.call("POST", tasks, {"workload": "preview", "key": "a~b"})
        session.call("POST", tasks, {"workload": "preview", "payload": "x" * 1100000},
                     shown="more than a megabyte")
        session.note("# malformed, half sent, without a length: answered or dropped, others go on")
        port = cluster.instances[other]["http"]
        head = b"POST /v1/tasks HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        session.note(raw(port, head + b"Content-Length: 9\r\n\r\n{\"work\xff\xfe}"))
        session.note(raw(port, head + b"\r\n"))
        with socket.create_connection(("127.0.0.1", port)) as half:
            half.sendall(head + b"Content-Length: 100\r\n\r\n{")
            session.call("POST", tasks, {"workload": "preview", "key": "p2", "payload": payload})
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
