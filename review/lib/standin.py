# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Stand-ins for the review's scripts: the platform's store, workers, and the instances' processes.

The store and the workers follow PROTOCOL.md. They run in this process on one asyncio loop in a
thread of its own, all on 127.0.0.1. The instances are separate processes, started with the command
of deploy/system.toml. A Cell keeps the record of what was sent, answered and run.
"""
import asyncio
import base64
import bisect
import http.client
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ["target/Source/Yardhill/yardhill", "instance"]  # `run` of the deploy file's only role
ROW_BYTES = 65536           # `row_bytes` in DEPLOY.md's settings and in the site files' wire
TX_ENTRIES, TX_BYTES = 100, 1_000_000
MAX_HOLD_MS, STOP_MS, HEARTBEAT_S = 10000, 200, 1.5
REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           412: "Precondition Failed", 421: "Misdirected Request", 429: "Too Many Requests",
           503: "Service Unavailable"}


def first_ephemeral_port():
    """Ports from here on may be taken at any time by an outgoing connection."""
    try:
        text = pathlib.Path("/proc/sys/net/ipv4/ip_local_port_range").read_text(encoding="ascii")
        return max(12000, int(text.split()[0]))
    except (OSError, ValueError, IndexError):
        return 32768


s_given_ports = set()  # a port is given to one user only


def free_port_run(length):
    """The first of `length` neighbouring free ports below the ephemeral ones."""
    while True:
        first = random.randrange(10000, first_ephemeral_port() - length)
        ports = range(first, first + length)
        if not s_given_ports.isdisjoint(ports):
            continue
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind(("127.0.0.1", port))
        except OSError:
            continue
        s_given_ports.update(ports)
        return first


def free_ports(count):
    return [free_port_run(1) for _ in range(count)]


def now_ms():
    return int(time.monotonic() * 1000)


class HttpServer:
    """Minimal HTTP/1.1 server: keep-alive, Content-Length bodies."""

    def __init__(self, handle):
        self.handle = handle  # async (method, path, headers, body) -> (status, body bytes), or None
        self.port = None
        self.server = None

    async def start(self, port):
        self.open = set()
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port,
                                                 reuse_address=True)
        self.port = port

    def crash(self):
        """Ends the server as a killed process does: the port resets, connections are reset."""
        self.server.close()
        for writer in self.open:
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, path, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handle(method, path, headers, body)
                if answer is None:  # no answer, ever
                    await asyncio.sleep(3600)
                status, out = answer
                writer.write(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                             f"Content-Type: application/json\r\n"
                             f"Content-Length: {len(out)}\r\n\r\n".encode() + out)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            if not asyncio.get_event_loop().is_closed():
                writer.close()


class Store:
    """The metadata store: tables of rows, transactions, feeds. Its answers are linearizable."""

    def __init__(self, record):
        self.record = record
        self.rows = {}      # (table, part, key) -> (value, ver)
        self.history = []   # (ver, table, part, key, value or None)
        self.ver = 0
        self.changed = None
        self.refused_as_too_large = 0
        self.largest_value = 0
        self.latency = 0.003
        self.down = False   # answers 503 ("A 503 means that nothing was done")

    async def handle(self, method, path, headers, body):
        if self.down:
            return 503, b"{}"
        url = urllib.parse.urlsplit(path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/yardhill/rows-tx" and method == "POST":
            await asyncio.sleep(self.latency)
            return self.transact(body)
        if url.path == "/yardhill/rows-get":
            await asyncio.sleep(self.latency)
            return self.read(query)
        if url.path == "/yardhill/rows-feed":
            return await self.feed(query)
        return 404, b"{}"

    def answer(self, status, **fields):
        return status, json.dumps({**fields, "ver": self.ver, "now_ms": now_ms()}).encode()

    @staticmethod
    def key_of(entry):
        return entry["table"], entry.get("part", ""), entry["private_key"]

    def transact(self, body):
        change = json.loads(body)
        conditions = change.get("expected_rev", [])
        puts, removes = change.get("put", []), change.get("remove", [])
        sizes = [len(base64.b64decode(each["value"])) for each in puts]
        self.largest_value = max([self.largest_value, *sizes])
        # "all or nothing, 100 entries and 1 MB at most"; "`value` (base64 of at most `row_bytes`)"
        if (len(conditions) + len(puts) + len(removes) > TX_ENTRIES or len(body) > TX_BYTES or
                any(size > ROW_BYTES for size in sizes)):
            self.refused_as_too_large += 1
            if self.refused_as_too_large <= 20 or self.refused_as_too_large % 50 == 0:
                big = [(self.key_of(each), size) for each, size in zip(puts, sizes)
                       if size > ROW_BYTES]
                self.record(f"store: 400, {len(body)} bytes, {len(puts)} puts, too large: {big} "
                            f"(number {self.refused_as_too_large})")
            return self.answer(400, error="too large")
        present = []
        holds = True
        for each in conditions:
            at = self.key_of(each)
            value, ver = self.rows.get(at, (None, 0))
            holds &= ver == each["ver"]
            if ver:
                present.append(self.row_json(at, value, ver))
        if not holds:
            return self.answer(412, rows=present)
        self.ver += 1
        for each in puts:
            self.write(self.key_of(each), each["value"])
        for each in removes:
            self.write(self.key_of(each), None)
        self.notify()
        return self.answer(200)

    @staticmethod
    def row_json(at, value, ver):
        return {"table": at[0], "part": at[1], "private_key": at[2], "value": value, "ver": ver}

    def write(self, at, value):
        if value is None:
            if self.rows.pop(at, None) is None:
                return
        else:
            self.rows[at] = (value, self.ver)
        self.history.append((self.ver, *at, value))

    def put(self, table, key, content):
        """A write of the operator or of a worker."""
        self.ver += 1
        value = None if content is None else base64.b64encode(
            json.dumps(content).encode()).decode()
        self.write((table, "", key), value)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from_rev", ""), query.get("target_version", "")
        limit = min(int(query.get("limit", 500) or 500), 500)
        keys = sorted(at[2] for at in self.rows if at[0] == table and at[1] == part and
                      at[2] >= first and (not end or at[2] < end))
        rows, size = [], 0
        for key in keys[:limit]:
            at = (table, part, key)
            rows.append(self.row_json(at, *self.rows[at]))
            size += len(rows[-1]["value"])
            if size > TX_BYTES:
                break
        return self.answer(200, rows=rows, more=len(rows) < len(keys))

    async def feed(self, query):
        table, since = query["table"], int(query["since_rev"])
        until = time.monotonic() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            begin = bisect.bisect_right(self.history, since, key=lambda each: each[0])
            found = [each for each in self.history[begin:] if each[1] == table]
            left = until - time.monotonic()
            if found or left <= 0 or self.down:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        if self.down:
            return 503, b"{}"
        rows = []
        for ver, *at, value in found:
            row = self.row_json(at, value, ver)
            if value is None:
                row = {"table": at[0], "part": at[1], "private_key": at[2], "ver": ver,
                       "gone": True}
            rows.append(row)
        return self.answer(200, rows=rows)


class Worker:
    """One life of a worker. `run_time(task, spec)` gives a run's length in seconds."""

    def __init__(self, cell, name, service, zone, rack, cpu, mem):
        self.cell, self.id, self.service, self.zone = cell, name, service, zone
        self.rack, self.cpu, self.mem = rack, cpu, mem
        self.offset = 400000
        self.token, self.lease_end = 0, 0
        self.running = {}      # task -> dict(run, since, timer)
        self.ended_runs = {}   # task -> highest run that ended or was stopped here
        self.ends, self.last_end = [], 0
        self.changed = None
        self.http = HttpServer(self.handle)
        self.state, self.kind = "ready", "a"
        self.answers_to_lose = 0  # of the next starts that it carries out

    def clock(self):
        return now_ms() + self.offset

    def entry(self):
        return {"service": self.service, "address": f"127.0.0.1:{self.http.port}",
                "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": self.mem, "gpu": 0},
                "labels": [self.kind, self.rack], "clock_ms": self.clock(), "sequence": 1}

    async def start(self, port):
        self.changed = asyncio.Event()
        await self.http.start(port)
        self.cell.store.put("servers", self.id, self.entry())
        self.watch = asyncio.ensure_future(self.watch_lease())

    def crash(self):
        """The process dies. Its entry goes after three heartbeats of silence."""
        self.cell.record(f"platform: {self.id} crashes, running {sorted(self.running)}")
        self.watch.cancel()
        self.http.crash()
        for task, run in self.running.items():
            if "timer" in run:
                run["timer"].cancel()
            self.cell.run_ended(self, task, run["run"], "lost with the worker")
        self.running = {}
        asyncio.get_event_loop().call_later(
            3 * HEARTBEAT_S, lambda: self.cell.store.put("servers", self.id, None))

    async def restart(self):
        """A new life of the machine: a new id at the same address."""
        self.cell.lives += 1
        worker = Worker(self.cell, f"i-{self.cell.lives:08x}", self.service, self.zone, self.rack,
                        self.cpu, self.mem)
        worker.kind = self.kind
        self.cell.workers[self.cell.workers.index(self)] = worker
        await worker.start(self.http.port)
        self.cell.record(f"platform: {self.id} is back as {worker.id}")
        return worker

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.clock() >= self.lease_end:
                for task in list(self.running):
                    self.end(task, "lapsed")

    def extend(self, expires):
        if expires:
            self.lease_end = max(self.lease_end, min(expires, self.clock() + MAX_HOLD_MS))

    async def handle(self, method, path, headers, body):
        if path == "/health":
            return 200, b""
        if headers.get("x-expect-instance") not in (None, self.id):
            return 421, b"{}"
        call = json.loads(body)
        if path == "/yardhill/hold":
            return await self.hold(call)
        if path == "/yardhill/run-start":
            answer = self.run_start(call)
            if self.answers_to_lose and answer[0] == 200:
                self.answers_to_lose -= 1
                self.cell.record(f"platform: {self.id} loses its answer to the start of "
                                 f"{call['task']} run {call['run_id']}")
                return None
            return answer
        if path == "/yardhill/run-stop":
            return self.run_stop(call)
        return 404, b"{}"

    def answer(self, status, **fields):
        return status, json.dumps({"clock_ms": self.clock(), **fields}).encode()

    def fenced(self, call):
        token = call.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def run_start(self, call):
        task, run = call["task"], call["run_id"]
        if self.fenced(call):
            return self.answer(409, reason="fence")
        if call["expires_ms"] <= self.clock():
            return self.answer(409, reason="late")
        known = self.running.get(task)
        if known and known["run"] == run:
            self.extend(call["expires_ms"])
            return self.answer(200)
        if not self.cell.ticket_valid(task, self, call.get("ticket", "")):
            self.cell.rejected.append((self.cell.t(), self.id, task, "ticket"))
            self.cell.record(f"run: {self.id} rejects {task} run {run}: ticket "
                             f"{call.get('ticket', '')!r}")
            return self.answer(409, reason="ticket")
        if known or run <= self.ended_runs.get(task, 0):
            self.extend(call["expires_ms"])
            return self.answer(409, reason="old")
        self.extend(call["expires_ms"])
        length, how = self.cell.plan(task, self)
        self.running[task] = {"run": run, "since": time.monotonic()}
        self.cell.run_began(self, task, run)
        if length is not None:
            timer = asyncio.get_event_loop().call_later(
                length, lambda: self.finish(task, run, how))
            self.running[task]["timer"] = timer
        self.notify()
        return self.answer(200)

    def finish(self, task, run, how):
        if self.running.get(task, {}).get("run") == run:
            self.end(task, how)

    def end(self, task, how):
        run = self.running.pop(task)
        if "timer" in run:
            run["timer"].cancel()
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run["run"])
        self.last_end += 1
        self.ends.append([self.last_end, task, run["run"], how, ""])
        self.cell.run_ended(self, task, run["run"], how)
        self.notify()

    def run_stop(self, call):
        if self.fenced(call):
            return self.answer(409, reason="fence")
        task, run = call["task"], call["run_id"]
        known = self.running.get(task)
        if known and known["run"] == run:
            asyncio.get_event_loop().call_later(
                STOP_MS / 2000, lambda: self.finish(task, run, "stopped"))
        else:
            self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
        return self.answer(200)

    async def hold(self, call):
        if self.fenced(call):
            return self.answer(409, reason="fence")
        self.extend(call.get("expires_ms", 0))
        seen = call.get("last_seen", 0)
        for each in self.ends:
            if each[0] <= seen:
                self.cell.noted.append((self.cell.t(), self.id, *each[1:4]))
        self.ends = [each for each in self.ends if each[0] > seen]
        wait = min(call.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[task, run["run"], "", min(100, int(10 * (time.monotonic() - run["since"])))]
                   for task, run in self.running.items()]
        return self.answer(200, running=running, finished=self.ends[:500])

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()


class Advice:
    """The advice service as one calling machine sees it: one call at a time, in turn."""

    def __init__(self, cell, name):
        self.cell, self.name = cell, name
        self.waiting = 0
        self.turn = None
        self.http = HttpServer(self.handle)

    async def start(self, port):
        self.turn = asyncio.Lock()
        await self.http.start(port)

    async def handle(self, method, path, headers, body):
        if path != "/yardhill/advise":
            return 404, b"{}"
        call = json.loads(body)
        step, named = call["phase"], call["workers"]
        if len(named) > 100:
            return 400, b"{}"
        if self.waiting >= 32:
            return 429, b"{}"
        self.waiting += 1
        try:
            async with self.turn:
                policy = self.cell.policy_of(step.split(".")[0])
                self.cell.record(f"advice: {self.name} asks for {step}, {len(named)} workers")
                self.cell.advice_calls.append((self.cell.t(), self.name, step))
                await asyncio.sleep((policy["decide_ms"] + policy["each_ms"] * len(named)) / 1000)
                good = []
                for worker in named:
                    if self.cell.permits(step, worker):
                        text = f"{step}-{worker}-{self.cell.next_ticket()}"
                        self.cell.tickets[text] = (step, worker,
                                                   time.monotonic() + policy["valid_ms"] / 1000)
                        good.append([worker, text])
                self.cell.record(f"advice: answers {self.name} for {step}: "
                                 f"good {[worker for worker, _ in good]}")
                return 200, json.dumps({"good": good, "valid_ms": policy["valid_ms"]}).encode()
        finally:
            self.waiting -= 1


class Cell:
    def __init__(self, record_file, zones=("a", "b", "c"), instances=3, workers=6, cpu=16000,
                 mem=32768, service="docbuild", mode="w"):
        self.file = open(record_file, mode, encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.store = Store(self.record)
        self.zones, self.service = zones, service
        self.runs = []          # (when, worker, task, run)
        self.ends = []          # (when, worker, task, run, how)
        self.active = {}        # task -> set of (worker, run)
        self.plan = lambda task, worker: (0.3, "done")
        self.policy_of = lambda job: None       # the queue's `advice`, if its policy needs tickets
        self.permits = lambda step, worker: True
        self.tickets, self.advice_calls, self.last_ticket = {}, [], 0
        self.advice, self.lives = {}, 0x1000
        self.noted = []     # ends that `last_seen` has reached: (when, worker, task, run, how)
        self.rejected = []  # (when, worker, task, reason)
        self.directory = tempfile.TemporaryDirectory(prefix="yardhill-review-")
        self.path = pathlib.Path(self.directory.name)
        self.processes = {}
        self.settings = {}
        self.ended_by_us = set()
        self.workers = [Worker(self, f"i-{number:08x}", service, zones[number % len(zones)],
                               f"r{number % len(zones)}-{number // len(zones) % 2}", cpu, mem)
                        for number in range(workers)]
        self.names = [f"edge-{zones[number % len(zones)]}-{number // len(zones) + 1}"
                      for number in range(instances)]
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    @staticmethod
    async def end_tasks():
        others = [each for each in asyncio.all_tasks() if each is not asyncio.current_task()]
        for each in others:
            each.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    # ---- record

    def t(self):
        return time.monotonic() - self.began

    def record(self, text):
        with self.lock:
            self.file.write(f"{self.t():8.3f} {text}\n")
            self.file.flush()

    def next_ticket(self):
        self.last_ticket += 1
        return self.last_ticket

    def ticket_valid(self, task, worker, text):
        if self.policy_of(task.split(".")[0]) is None:
            return True
        step, named, until = self.tickets.get(text, (None, None, 0))
        return (step == task.rsplit(".", 1)[0] and named == worker.id and
                time.monotonic() < until)

    def run_began(self, worker, task, run):
        self.runs.append((self.t(), worker.id, task, run))
        self.active.setdefault(task, set()).add((worker.id, run))
        self.record(f"run: {worker.id} begins {task} run {run}")

    def run_ended(self, worker, task, run, how):
        self.ends.append((self.t(), worker.id, task, run, how))
        self.active.get(task, set()).discard((worker.id, run))
        self.record(f"run: {worker.id} ends {task} run {run}: {how}")

    # ---- start and stop

    def do(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(20)

    def in_loop(self, action, *arguments):
        async def call():
            return action(*arguments)
        return self.do(call())

    async def start_servers(self):
        self.store.changed = asyncio.Event()
        self.store_http = HttpServer(self.store.handle)
        ports = free_ports(1 + len(self.workers))
        await self.store_http.start(ports[0])
        for worker, port in zip(self.workers, ports[1:]):
            await worker.start(port)
        for name, port in zip(self.names, free_ports(len(self.names))):
            self.advice[name] = Advice(self, name)
            await self.advice[name].start(port)

    def apply(self, version, routes):
        """Writes a configuration as the operator does. The answer of the store acknowledges it."""
        columns = ["name", "host", "path_prefix", "kind", "timeout_ms", "target_latency_ms",
                   "priority", "service", "max_attempts", "stretch", "advice"]
        content = {"version": version,
                   "routes": {"columns": columns,
                              "rows": [[route.get(name) for name in columns] for route in routes]},
                   "services": {"columns": ["name", "health_path", "max_connections", "protocol",
                                            "tls", "rejects_overload", "headroom"],
                                "rows": [[self.service, "/health", 64, "h1", False, False, False]]},
                   "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
        self.in_loop(self.store.put, "op", "config", content)
        self.record(f"operator: configuration {version} acknowledged, routes "
                    f"{[(route['name'], route['path_prefix']) for route in routes]}")

    def start_instance(self, name):
        if name not in self.settings:
            callers, ready = free_ports(2)
            own = free_port_run(2)  # an instance uses the first two of its port range
            zone = name.rsplit("-", 1)[0].removeprefix("edge-")
            self.settings[name] = {  # what platform/settings.jsonc.template gives
                "name": name, "availability_zone": zone,
                "callers_address": f"127.0.0.1:{callers}", "ready_address": f"127.0.0.1:{ready}",
                "own_address": "127.0.0.1", "first_own_port": own,
                "store_address": f"127.0.0.1:{self.store_http.port}", "advice_address": f"127.0.0.1:{self.advice[name].http.port}",
                "stop_grace_s": 6, "lease_limit_ms": 10000, "keep_status_s": 120,
                "configuration_limit_ms": 2000, "processor_share": 0.25, "processor_cores": 1}
        file = self.path / f"{name}.jsonc"
        file.write_text(json.dumps(self.settings[name]))
        log = open(self.path / f"{name}.log", "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        self.processes[name] = subprocess.Popen(
            [str(ROOT / COMMAND[0]), *COMMAND[1:]], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
            stderr=log, env={**environment, "YARDHILL_BOOT": str(file)})
        self.record(f"platform: starts {name}")

    def start(self, routes):
        if not (ROOT / COMMAND[0]).exists():
            raise RuntimeError("the program of the deploy file is not built")
        self.do(self.start_servers())
        self.apply(1, routes)
        for name in self.names:
            self.start_instance(name)
        until = time.monotonic() + 30
        while not (all(self.ready(name) for name in self.names) and self.owner()):
            if time.monotonic() > until:
                raise RuntimeError("the cell does not become ready")
            time.sleep(0.1)
        self.record(f"platform: all instances are ready, {self.owner()} owns the cell")

    def signal(self, name, which):
        self.record(f"platform: {which.name} to {name}")
        if which in (signal.SIGKILL, signal.SIGTERM):
            self.ended_by_us.add((name, self.processes[name].pid))
        self.processes[name].send_signal(which)

    def crashed(self):
        """Instances that have ended without a signal of this script."""
        return [name for name, process in self.processes.items()
                if process.poll() is not None and (name, process.pid) not in self.ended_by_us]

    def ready(self, name):
        return self.http(name, "GET", "/yardhill/ready", "ready_address", quiet=True)[0] == 200

    def owner(self):
        for name, process in self.processes.items():
            if process.poll() is None:
                own = f"127.0.0.1:{self.settings[name]['first_own_port']}"
                text = self.exchange(own, "GET", "/metrics", None, {}, 2)[1]
                if b"yardhill_partitions_owned 1" in text:
                    return name
        return None

    # ---- clients

    @staticmethod
    def exchange(address, method, path, body, headers, timeout):
        try:
            connection = http.client.HTTPConnection(address, timeout=timeout)
            connection.request(method, path, body, headers)
            reply = connection.getresponse()
            return reply.status, reply.read()
        except (OSError, http.client.HTTPException):
            return 0, b""

    def http(self, name, method, path, address="callers_address", body=None, quiet=False,
             host="docs.example", deadline=3000):
        headers = {"Host": host, "X-Request-Deadline": str(deadline)}
        if body is not None:
            headers["Content-Type"] = "application/json"
        began = time.monotonic()
        status, out = self.exchange(self.settings[name][address], method, path,
                                    None if body is None else json.dumps(body), headers,
                                    deadline / 1000)
        if not quiet:
            self.record(f"client: {method} {path} at {name} -> {status} {out[:120].decode()} "
                        f"after {time.monotonic() - began:.3f} s")
        return status, out

    def submit(self, path, body, tries=5):
        """Hands a job in as a client does: the same id again after silence, 502 or 504."""
        for number in range(tries):
            name = self.names[number % len(self.names)]
            status, _ = self.http(name, "POST", path, body=body)
            if 200 <= status < 300 or status in (400, 404, 422):
                return status
            time.sleep(0.4)
        return status

    def state(self, path):
        """The job's state by whichever instance answers; None: no answer, 'gone': 410."""
        for name in self.names:
            if self.processes[name].poll() is not None:
                continue
            status, out = self.http(name, "GET", path)
            if status == 200:
                return json.loads(out)["state"]
            if status == 410:
                return "gone"
        return None

    def running(self, job):
        return sorted(task for task, runs in self.active.items()
                      if runs and task.startswith(job + "."))

    def close(self, keep_logs=False):
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
            process.wait()
        for name in self.processes:
            log = (self.path / f"{name}.log").read_text(errors="replace").splitlines()
            picked = [line for line in log if any(
                word in line for word in ('"partition_', '"take_over"', '"commit_unanswered"',
                                          '"configuration_in_force"', '"owner_seen"'))]
            for line in picked[:60]:
                self.record(f"log of {name}: {line[:300]}")
        if keep_logs:
            for name in self.processes:
                print(f"==== {name}")
                print((self.path / f"{name}.log").read_text(errors="replace")[-6000:])
        asyncio.run_coroutine_threadsafe(self.end_tasks(), self.loop).result(10)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.directory.cleanup()
        self.file.close()
