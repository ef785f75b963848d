# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Loopback TCP proxies in a separate process that reads fault commands from its standard input.

Each line is JSON: {"route": NAME, "fault": FAULT, "ms": MS, "reach": "all" | "open" | "new"}. Faults:
works (none), delay (delays each chunk by MS), reset (resets connections at once), hold_up and
hold_down (one direction is interrupted: as with TCP, the data arrives when the fault ends), silent
(both directions are interrupted). `open` applies to the connections that are open now, until they
close; `new` to connections opened later.
"""
import asyncio
import json
import socket
import struct
import subprocess
import sys
import threading

PIECE = 65536
# SO_LINGER enabled with a timeout of 0 s, so that closing the socket sends a reset.
LINGER_NONE = struct.pack("ii", 1, 0)
HELD = {"hold_up": {"up"}, "hold_down": {"down"}, "silent": {"up", "down"}}
HELD_PERIOD = 0.05


class Route:
    """The fault setting and the open connections of one proxy."""

    def __init__(self):
        self.fault, self.delay = "works", 0.0
        self.links = set()


class Link:
    """One connection through a proxy, with the fault that was set for this connection alone."""

    def __init__(self, route):
        self.route = route
        self.stuck = None  # a fault that stays until the connection closes
        self.writers = []

    def fault(self):
        return self.stuck or self.route.fault

    def reset(self):
        for writer in self.writers:
            raw = writer.get_extra_info("socket")
            if raw is not None and raw.fileno() >= 0:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            writer.transport.abort()


async def pump(link, reader, writer, way):
    while piece := await reader.read(PIECE):
        if link.fault() == "delay":
            await asyncio.sleep(link.route.delay)
        await while_held(link, way)
        writer.write(piece)
        await writer.drain()
    await while_held(link, way)
    writer.close()


async def while_held(link, way):
    while way in HELD.get(link.fault(), ()):
        await asyncio.sleep(HELD_PERIOD)


async def serve(route, port, reader, writer):
    link = Link(route)
    link.writers.append(writer)
    route.links.add(link)
    try:
        if link.fault() == "reset":
            link.reset()
            return
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        link.writers.append(far_writer)
        await asyncio.gather(pump(link, reader, far_writer, "up"),
                             pump(link, far_reader, writer, "down"))
    except OSError:
        pass
    finally:
        for each in link.writers:
            each.close()
        route.links.discard(link)


def set_fault(route, order):
    if order["reach"] in ("all", "new"):
        route.fault, route.delay = order["fault"], order.get("ms", 0) / 1000
    if order["reach"] == "open":
        for link in route.links:
            link.stuck = order["fault"]
    if order["fault"] == "reset":
        for link in list(route.links):
            link.reset()


async def run(ports):
    routes = {}
    for name, (near, far) in ports.items():
        routes[name] = Route()
        await asyncio.start_server(
            lambda reader, writer, route=routes[name], far=far: serve(route, far, reader, writer),
            "127.0.0.1", near)
    lines = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(lines), sys.stdin)
    print("listening", flush=True)
    while line := await lines.readline():
        order = json.loads(line)
        set_fault(routes[order["route"]], order)


class ProxyProcess:
    """Starts and controls the proxy process; `routes` maps name to (listening port, target port)."""

    def __init__(self, group, routes):
        self.process = subprocess.Popen(
            [sys.executable, __file__, json.dumps(routes)], stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, stderr=open(group.path / "proxies.log", "ab"), text=True)
        group.processes["proxies"] = self.process
        self.lock = threading.Lock()
        if self.process.stdout.readline() != "listening\n":
            raise RuntimeError("the proxies do not listen")

    def set(self, route, fault, reach="all", ms=0):
        order = {"route": route, "fault": fault, "reach": reach, "ms": ms}
        with self.lock:
            self.process.stdin.write(json.dumps(order) + "\n")
            self.process.stdin.flush()


if __name__ == "__main__":
    asyncio.run(run(json.loads(sys.argv[1])))
