# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""The cell under test, on its own block of ports, with a record of faults per instance."""
import contextlib
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "cluster"))
from cluster import http, wait_until  # noqa: E402
from platform_cell import ADVICE, CALLERS, OWN, READY, PlatformCell  # noqa: E402
from proxy import ProxyProcess  # noqa: E402

# Below the system's ephemeral ports, and apart from the ports of the repository's other tools.
BLOCK_SIZE = 1000
PORT_BLOCKS = [*range(27000, 32000, BLOCK_SIZE), *range(10000, 16000, BLOCK_SIZE)]
# Seconds to wait for a block: other soak runs on the machine release theirs when they end.
PORT_CLAIM_TIMEOUT_SECONDS = 300.0
LAST_PORT = BLOCK_SIZE - 1
# Offsets within a block; the stand-in and its workers use the lower ones.
OWN_PORTS = {CALLERS: 600, READY: 650, OWN: 700, "store proxy": 800, "advice proxy": 850}
MOST_INSTANCES, MOST_WORKERS = 45, 400
# Seconds for a planned stop: stop_grace_s is 6, and a busy machine may take longer.
STOP_LIMIT = 20.0


def claim_ports():
    """Waits for a free block; returns (first port, socket that reserves the block)."""
    give_up = time.monotonic() + PORT_CLAIM_TIMEOUT_SECONDS
    while (claimed := free_block()) is None:
        if time.monotonic() > give_up:
            raise RuntimeError(f"no free block of {BLOCK_SIZE} ports from {PORT_BLOCKS[0]} on")
        time.sleep(1.0)
    return claimed


def free_block():
    """Returns (first port, reserving socket), or None if all blocks are in use."""
    for first in PORT_BLOCKS:
        guard = socket.socket()
        sockets = [guard]
        try:
            guard.bind(("127.0.0.1", first + LAST_PORT))
            for port in range(first, first + LAST_PORT):
                probe = socket.socket()
                sockets.append(probe)
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                probe.bind(("127.0.0.1", port))
        except OSError:
            for each in sockets:
                each.close()
            continue
        for each in sockets[1:]:
            each.close()
        return first, guard
    return None


class InstanceRecord:
    """The state of an instance and its faults; times are from time.monotonic()."""

    def __init__(self):
        self.should_live = False
        self.ready = False
        self.disturbed_at = 0.0  # time of the latest start, kill, freeze or wake
        self.frozen = False
        self.stop_asked_at = None
        self.log_bytes = 0  # bytes written by earlier processes of the instance
        self.faults = 0  # number of current connection or store faults
        self.faults_end = 0.0  # when a connection or store fault last began or ended


class SoakCell(PlatformCell):
    def __init__(self, instances, workers, run_time):
        first_port, self.guard = claim_ports()
        super().__init__("periyar", first_port, instances, workers, run_time)
        self.stand_in_options = ["--advice-ports", MOST_INSTANCES]
        self.records = {name: InstanceRecord() for name in self.instances}
        self.lock = threading.RLock()
        self.ends_by_themselves = []
        self.kept = None
        self.apply_lock = threading.Lock()
        self.proxies = None

    def port(self, name, kind):
        if kind == ADVICE:
            return super().port(name, kind)
        number = self.instances[name]["number"]
        return self.first_port + OWN_PORTS[kind] + (2 * number if kind == OWN else number)

    def store_address(self, name):
        return f"127.0.0.1:{self.port(name, 'store proxy')}"

    def advice_address(self, name):
        return f"127.0.0.1:{self.port(name, 'advice proxy')}"

    def start_stand_in(self):
        super().start_stand_in()
        routes = {}
        for name in self.instances:
            routes[f"store {name}"] = (self.port(name, "store proxy"), self.first_port)
            routes[f"advice {name}"] = (self.port(name, "advice proxy"), self.port(name, ADVICE))
        self.proxies = ProxyProcess(self, routes)

    def start_instance(self, name):
        with self.lock:
            record = self.records[name]
            record.should_live = True
            record.frozen = False
            record.stop_asked_at = None
            record.disturbed_at = time.monotonic()
            log = self.path / f"{name}.log"
            record.log_bytes = log.stat().st_size if log.exists() else 0
            super().start_instance(name)

    def apply_next(self, change):
        """Applies a configuration change; versions are written one at a time, as by one operator."""
        with self.apply_lock:
            self.apply(change)

    def kill_instance(self, name):
        """Sends SIGKILL; returns False if the instance was not running."""
        with self.lock:
            if not self.lives(name):
                return False
            record = self.records[name]
            record.should_live, record.ready = False, False
            record.disturbed_at = time.monotonic()
            self.kill(name)
            self.wait_end(name)
            record.disturbed_at = time.monotonic()
            return True

    def ask_to_stop(self, name):
        """Sends SIGTERM; returns False if the instance is not running or already stopping."""
        with self.lock:
            record = self.records[name]
            if not self.lives(name) or not record.should_live:
                return False
            record.should_live = False
            record.stop_asked_at = time.monotonic()
            self.kill(name, signal.SIGTERM)
            return True

    def freeze(self, name, frozen):
        with self.lock:
            record = self.records[name]
            if not self.lives(name) or record.frozen == frozen:
                return False
            record.frozen = frozen
            record.disturbed_at = time.monotonic()
            self.kill(name, signal.SIGSTOP if frozen else signal.SIGCONT)
            return True

    def hang_up(self, name):
        with self.lock:
            if self.lives(name) and self.records[name].ready:
                self.kill(name, signal.SIGHUP)

    def disturbed_since(self, name, moment):
        record = self.records[name]
        return record.frozen or record.disturbed_at >= moment

    @contextlib.contextmanager
    def faulty(self, names):
        """Marks the instances as having a connection or store fault while the context is open."""
        for name in names:
            self.change_fault_count(name, 1)
        try:
            yield
        finally:
            for name in names:
                self.change_fault_count(name, -1)

    def change_fault_count(self, name, change):
        with self.lock:
            self.records[name].faults += change
            self.records[name].faults_end = time.monotonic()

    def undisturbed_for(self, name, seconds):
        """Whether the instance has been ready and without a fault for so many seconds.

        Faults are those of the instance, its connections and the store.
        """
        record, since = self.records[name], time.monotonic() - seconds
        return (record.ready and record.should_live and record.faults == 0
                and record.faults_end < since and not self.disturbed_since(name, since))

    def look(self):
        """Queries every instance's readiness and records processes that ended unexpectedly."""
        for name, record in self.records.items():
            with self.lock:
                gone = record.should_live and name in self.processes and not self.lives(name)
                if gone:
                    record.should_live = False
            if gone:
                self.ends_by_themselves.append(
                    f"{name} ended by itself, code {self.processes[name].returncode}")
            asked = self.lives(name) and not record.frozen
            record.ready = asked and http(
                "GET", f"http://127.0.0.1:{self.port(name, READY)}/yardhill/ready",
                timeout=2)[0] == 200

    def all_ready(self):
        return all(record.should_live and record.ready and not record.frozen
                   for record in self.records.values())

    def keep_directory(self):
        """Copies the run's files to a directory that is kept; returns its path."""
        self.kept = tempfile.mkdtemp(prefix="yardhill-soak-failed-")
        shutil.copytree(self.path, self.kept, dirs_exist_ok=True)
        return self.kept

    def wait_stopped(self, name):
        """Waits for a requested stop to end; returns a description of its fault, or None."""
        try:
            wait_until(f"{name} to end", lambda: not self.lives(name), STOP_LIMIT)
        except RuntimeError:
            return f"SIGTERM, and it goes on for {STOP_LIMIT:.0f} s"
        code = self.processes[name].returncode
        if code == 0 or (code == -signal.SIGTERM and not self.has_started(name)):
            return None
        return f"code {code} after SIGTERM"

    def has_started(self, name):
        """Whether the instance's latest process has logged its `started` event.

        Before that event, the instance serves no requests, and SIGTERM may end it at once.
        """
        with open(self.path / f"{name}.log", "rb") as log:
            log.seek(self.records[name].log_bytes)
            return b'"event":"started"' in log.read()

    def stop(self):
        self.end_processes()
        self.guard.close()
        self.directory.cleanup()
