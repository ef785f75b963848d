# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Instances on a stand-in of the users' platform, all on this machine.

Used by Tools/demo and the golden sessions. The stand-in judges what runs at the workers.
"""
import json

from cluster import ROOT, STAND_INS, YARDHILL, ProcessGroup, http, strip_comments, wait_until

# Offsets from the cell's first port. The workers use those from 100 on, unless more than 20
# instances may request advice.
ADMIN, CALLERS, READY, OWN, ADVICE = 2, 10, 30, 40, 80


class PlatformCell(ProcessGroup):
    """The stand-in and instances that are assigned to the yard's zones in rotation."""

    def __init__(self, yard, first_port, instances=6, workers=None, run_time=1.0):
        super().__init__()
        self.yard_file = ROOT / f"Data/platform/{yard}.jsonc"
        self.yard = strip_comments(self.yard_file.read_text())
        self.first_port = first_port
        self.workers = workers or self.yard["workers"]["count"]
        self.run_time = run_time
        self.stand_in_options = []
        self.version = 0
        zones = self.yard["zones"]
        self.instances = {f"instance-{number}": {"zone": zones[number % len(zones)],
                                                 "number": number}
                          for number in range(instances)}

    def port(self, name, kind):
        number = self.instances[name]["number"]
        return self.first_port + kind + (2 * number if kind == OWN else number)

    def address(self, name):
        return f"127.0.0.1:{self.port(name, CALLERS)}"

    def store_address(self, name):  # the address that the instance connects to
        return f"127.0.0.1:{self.first_port}"

    def advice_address(self, name):
        return f"127.0.0.1:{self.port(name, ADVICE)}"

    def addresses(self):
        return ",".join(self.address(name) for name in self.instances if self.lives(name))

    def admin(self, method, path, body=None):
        """Calls the stand-in with a JSON body; returns the parsed reply."""
        status, _, answer = http(method, f"http://127.0.0.1:{self.first_port + ADMIN}{path}", body)
        if status != 200:
            raise RuntimeError(f"{method} {path}: {status} {answer!r}")
        return json.loads(answer) if answer else {}

    def report(self):
        return self.admin("GET", "/report")

    def configuration(self):
        """Returns the operator's configuration row, with a queue for each kind of job."""
        routes = [{"name": kind["name"], "host": kind["host"],
                   "path_prefix": kind["path_prefix"], "service": self.yard["service"],
                   "priority": kind["priority"], "max_attempts": kind["max_attempts"],
                   "stretch": 1.5,
                   "target_latency_ms": int(kind["latency_target"].removesuffix("ms"))}
                  for kind in self.yard["kinds"]]
        routes[0]["advice"] = {"decide_ms": 19.0, "each_ms": 0.28, "valid_ms": 2500}
        return {"version": self.version, "routes": routes,
                "services": {self.yard["service"]: {"rejects_overload": False}}}

    def apply(self, change=lambda configuration: None):
        """Writes the next version of the configuration, as the operator would."""
        self.version += 1
        configuration = self.configuration()
        change(configuration)
        self.admin("PUT", "/configuration", configuration)

    def start_stand_in(self):
        memory = int(self.yard["workers"]["memory"].removesuffix("GiB")) * 1024
        self.spawn("platform", [STAND_INS, "cell", "--first-port", self.first_port, "--zones",
                                ",".join(self.yard["zones"]), "--workers", self.workers,
                                "--cpu-millis", self.yard["workers"]["cpu_millis"],
                                "--memory-mib", memory, "--service", self.yard["service"],
                                "--run-time", self.run_time, *self.stand_in_options])
        wait_until("the stand-in to listen", lambda: http(
            "GET", f"http://127.0.0.1:{self.first_port + ADMIN}/report")[0] == 200)

    def start_instance(self, name):
        path = self.path / f"{name}.json"
        path.write_text(json.dumps({
            "name": name, "availability_zone": self.instances[name]["zone"],
            "callers_address": self.address(name),
            "ready_address": f"127.0.0.1:{self.port(name, READY)}",
            "own_address": "127.0.0.1", "first_own_port": self.port(name, OWN),
            "store_address": self.store_address(name),
            "advice_address": self.advice_address(name),
            "stop_grace_s": 6, "lease_limit_ms": 10000, "keep_status_s": 120}))
        self.spawn(name, [YARDHILL, "instance", "--settings", path])

    def ready(self, name):
        return http("GET", f"http://127.0.0.1:{self.port(name, READY)}/yardhill/ready")[0] == 200

    def start(self):
        self.start_stand_in()
        self.apply()
        for name in self.instances:
            self.start_instance(name)
        for name in self.instances:
            wait_until(f"{name} to be ready", lambda name=name: self.ready(name))
        wait_until("an owner", self.owner)

    def owner(self):
        """Returns the running instance whose metrics say that it owns the partition, or None."""
        for name in self.instances:
            if not self.lives(name):
                continue
            _, _, text = http("GET", f"http://127.0.0.1:{self.port(name, OWN)}/metrics")
            if b"yardhill_partitions_owned 1" in text:
                return name
        return None

    def log(self, name):
        return (self.path / f"{name}.log").read_text()
