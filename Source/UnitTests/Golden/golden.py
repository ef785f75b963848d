# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Golden sessions: compare a whole exchange with real processes with a committed file.

A session records its requests and the replies, with values that differ between runs replaced by
fixed ones. YARDHILL_GOLDEN=write writes the file instead of comparing it; review the diff then.
"""
import contextlib
import difflib
import json
import os
import pathlib
import re
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[2] / "Tools/cluster"))
from cluster import Cluster, http, wait_until  # noqa: E402,F401

ZONE = "kakkanad"

# Short enough for a session, in the same proportions as the defaults.
TIMING = {"heartbeat_period": "200ms", "peer_silence": "1000ms", "owner_silence": "1200ms",
          "claim_wait": "400ms", "claim_timeout": "1500ms", "confirm_window": "2s",
          "ticket_life": "2s", "task_lease": "4s", "config_poll": "500ms"}


class Session:
    """Records the requests and replies of one session."""

    def __init__(self, name):
        self.name = name
        self.lines = []

    def note(self, text):
        self.lines.append(text)

    def call(self, method, url, body=None, shown=None):
        """Sends a request and records it with its reply; returns (status, headers, body bytes)."""
        status, headers, answer = http(method, url, body)
        self.lines.append(f"> {method} {self.alike(re.sub('http://[^/]*', '', url))} "
                          f"{shown or json.dumps(body)}")
        kept = {name: value for name, value in headers.items()
                if name in ("Yardhill-Task", "Yardhill-Outcome", "Yardhill-Attempts")}
        text = answer.decode() if headers.get("Content-Type") == "application/json" else (
            f"{len(answer)} bytes")
        if text.startswith("{"):
            text = json.dumps(json.loads(text))
        self.lines.append(f"< {status} {self.alike(json.dumps(kept))} {self.alike(text)}")
        return status, headers, answer

    @staticmethod
    def alike(text):
        """Replaces values that differ from run to run by fixed ones."""
        text = re.sub(r"@[0-9a-f]{8}", "@RUN", text)
        text = re.sub(r'"retry_after_ms": [1-9]\d*', '"retry_after_ms": SOON', text)
        return re.sub(r"127\.0\.0\.1:\d+", "HOST", text)

    def finish(self):
        path = HERE / f"{self.name}.golden"
        text = re.sub(r"/tmp/yardhill-\w+", "DIRECTORY", "\n".join(self.lines) + "\n")
        if os.environ.get("YARDHILL_GOLDEN") == "write":
            path.write_text(text)
            return 0
        expected = path.read_text() if path.exists() else ""
        if text == expected:
            return 0
        sys.stdout.writelines(difflib.unified_diff(expected.splitlines(True), text.splitlines(True),
                                                   "expected", "got"))
        return 1


@contextlib.contextmanager
def one_zone(port_offset, instances=3, workers=5):
    """Starts a cluster of one zone; `port_offset` gives the session its own ports."""
    with Cluster(zones=1, instances_per_zone=instances, workers_per_zone=workers,
                 port_offset=port_offset, timing=TIMING) as cluster:
        cluster.start()
        yield cluster


def owner_and_others(cluster):
    """Returns the name of the instance that owns the zone, and the names of all others."""
    owner = cluster.owner_of(ZONE)
    return owner, [name for name in cluster.instances if name != owner]


def runs_of(cluster, workload):
    """Returns how often the workers recorded a start of each task of the workload."""
    counts = {}
    for run in cluster.record():
        if run["task"].startswith(workload + "/"):
            counts[run["task"]] = counts.get(run["task"], 0) + 1
    return counts
