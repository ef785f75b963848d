# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Runs the stand-ins and instances of a yard as processes on this machine.

Used by Tools/demo, the golden sessions and the recovery measurements.
"""
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = pathlib.Path(os.environ.get("YARDHILL_BUILD", ROOT / "build"))
YARDHILL = BUILD / "Source/Yardhill/yardhill"
STAND_INS = BUILD / "Source/StandIns/yardhill-standins"
GENEROUS_SECONDS = 60


def strip_comments(text):
    """Parses JSON with // comments; strings may contain // only within URLs."""
    return json.loads(re.sub(r"(^|[^:\"])//.*", r"\1", text))


def http(method, url, body=None, timeout=GENEROUS_SECONDS, host=None):
    """Returns (status, headers, body bytes); the status is 0 when no reply arrived."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method)
    if host is not None:
        request.add_header("Host", host)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as error:
        return error.code, dict(error.headers), error.read()
    except OSError:
        return 0, {}, b""


def wait_until(what, check, seconds=GENEROUS_SECONDS):
    """Polls `check` until it returns a true value; the generous limit only ends a failed run."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        result = check()
        if result:
            return result
        time.sleep(0.02)
    raise RuntimeError(f"waited {seconds} s in vain: {what}")


class ProcessGroup:
    """The processes of one test or demo, with a temporary directory; `stop` ends them all."""

    def __init__(self):
        self.directory = tempfile.TemporaryDirectory(prefix="yardhill-")
        self.path = pathlib.Path(self.directory.name)
        self.processes = {}

    def spawn(self, name, arguments):
        log = open(self.path / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen([str(word) for word in arguments], stdout=log,
                                                stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name]

    def run(self, *arguments):
        return subprocess.run([str(word) for word in (YARDHILL, *arguments)], text=True,
                              capture_output=True, check=False)

    def lives(self, name):
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def kill(self, name, how=signal.SIGKILL):
        self.processes[name].send_signal(how)

    def wait_end(self, name):
        return self.processes[name].wait(GENEROUS_SECONDS)

    def process_cost(self, name):
        """Returns (processor seconds used so far, resident KiB) of a process."""
        pid = self.processes[name].pid
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
        ticks = int(fields[11]) + int(fields[12])
        resident = [line for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
                    if line.startswith("VmRSS")]
        return ticks / os.sysconf("SC_CLK_TCK"), int(resident[0].split()[1])

    def end_processes(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def stop(self):
        self.end_processes()
        self.directory.cleanup()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


class Cluster(ProcessGroup):
    """A platform, the workers of each zone, and instances.

    `port_offset` shifts all ports, so that several clusters can run at once.
    """

    def __init__(self, yard="periyar", zones=None, instances_per_zone=2, workers_per_zone=None,
                 port_offset=0, timing=None, partitions=None, writes=300):
        super().__init__()
        self.offset = port_offset
        self.platform_port = 17000 + port_offset
        self.instances = {}
        cell = strip_comments((ROOT / f"Data/{yard}/cell.jsonc").read_text())
        if zones is not None:
            cell["cell"]["zones"] = cell["cell"]["zones"][:zones]
        self.zones = [zone["name"] for zone in cell["cell"]["zones"]]
        for index, zone in enumerate(cell["cell"]["zones"]):
            if partitions is not None:
                zone["partitions"] = partitions
            for workers in zone["workers"]:
                workers["first_port"] = 21000 + 100 * index + port_offset
                if workers_per_zone is not None:
                    workers["count"] = workers_per_zone
        self.cell = cell
        self.workloads = strip_comments((ROOT / f"Data/{yard}/workloads.jsonc").read_text())
        self.files = [self.path / "cell.json", self.path / "workloads.json"]
        self.write_files()
        self.timing = timing or {}
        self.writes = writes
        number = 0
        for zone in self.zones:
            for index in range(instances_per_zone):
                number += 1
                self.instances[f"{zone}-{index + 1}"] = {
                    "name": f"{zone}-{index + 1}", "zone": zone,
                    "http": 18000 + port_offset + number, "peer": 19000 + port_offset + number}
        self.admin = {zone: 17001 + port_offset + index for index, zone in enumerate(self.zones)}

    def write_files(self):
        """Writes the current cell and workload declarations."""
        self.files[0].write_text(json.dumps(self.cell))
        self.files[1].write_text(json.dumps(self.workloads))

    def url(self, name):
        return f"http://127.0.0.1:{self.instances[name]['http']}"

    def urls(self):
        return ",".join(self.url(name) for name in self.instances)

    def platform_url(self):
        return f"http://127.0.0.1:{self.platform_port}"

    def admin_url(self, zone):
        return f"http://127.0.0.1:{self.admin[zone]}"

    def start_platform(self):
        self.spawn("platform", [STAND_INS, "platform", "--port", self.platform_port, "--writes",
                                self.writes])
        wait_until("the platform to listen",
                   lambda: http("GET", self.platform_url() + "/load")[0] == 200)

    def start_workers(self, zone):
        self.spawn(f"workers-{zone}", [STAND_INS, "workers", "--zone", zone, "--admin-port",
                                       self.admin[zone], *self.files])
        wait_until(f"the workers of {zone} to listen",
                   lambda: http("GET", self.admin_url(zone) + "/usage")[0] == 200)

    def settings_of(self, name):
        own = self.instances[name]
        others = [{"name": peer["name"], "zone": peer["zone"], "address": "127.0.0.1",
                   "port": peer["peer"]} for peer in self.instances.values()
                  if peer["name"] != name]
        settings = {"name": name, "zone": own["zone"],
                    "http": {"address": "127.0.0.1", "port": own["http"]},
                    "peer": {"address": "127.0.0.1", "port": own["peer"]},
                    "platform": self.platform_url(), "peers": others}
        if self.timing:
            settings["timing"] = self.timing
        return settings

    def start_instance(self, name):
        path = self.path / f"{name}.json"
        path.write_text(json.dumps(self.settings_of(name)))
        self.spawn(name, [YARDHILL, "serve", "--settings", path])

    def start(self):
        self.start_platform()
        for zone in self.zones:
            self.start_workers(zone)
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            wait_until(f"{name} to listen", lambda: http("GET", self.url(name) + "/healthz")[0] == 200)
        self.apply()
        for name in self.instances:
            self.wait_ready(name)

    def apply(self):
        first = next(iter(self.instances))
        result = self.run("apply", "--url", self.url(first), *self.files)
        if result.returncode != 0:
            raise RuntimeError("apply failed: " + result.stdout + result.stderr)

    def wait_ready(self, name):
        wait_until(f"{name} to be ready", lambda: http("GET", self.url(name) + "/readyz")[0] == 200)

    def owner_of(self, zone):
        """Returns the name of a running instance that owns a partition of the zone, or None."""
        for name, own in self.instances.items():
            if own["zone"] != zone or not self.lives(name):
                continue
            status, _, body = http("GET", self.url(name) + "/v1/status", timeout=2)
            if status == 200:
                for partition in json.loads(body)["partitions"]:
                    if partition["phase"] == "owning":
                        return name
        return None

    def set_faults(self, url, **faults):
        status, _, body = http("POST", url + "/faults", faults)
        if status != 200:
            raise RuntimeError(f"faults not set: {body!r}")

    def record(self):
        """Returns every task start that any worker accepted."""
        runs = []
        for zone in self.zones:
            runs += json.loads(http("GET", self.admin_url(zone) + "/record")[2])
        return runs

    def usage(self):
        return {zone: json.loads(http("GET", self.admin_url(zone) + "/usage")[2])
                for zone in self.zones}

    def store_load(self):
        return json.loads(http("GET", self.platform_url() + "/load")[2])
