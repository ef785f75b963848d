# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Troubles (injected faults) drawn from a seed, in waves of overlapping troubles and calm."""
import random
import threading
import time

# The longest time, in seconds, that the entry of a crashed worker remains registered.
ENTRY_EXPIRY_SECONDS = 1.5
# Seconds between a worker's announcement that it will leave and its leaving.
LEAVE_NOTICE_SECONDS = 4.0
STORE_FAULTS = ["unavailable", "silent", "loses_answers"]
ROUTE_FAULTS = ["delay", "reset", "hold_up", "hold_down", "silent"]
JOB_PARTS = 32


class Troubles:
    """Draws and plays the troubles of a run.

    `size` is the most instances that a series of stops affects; `density` is the range of troubles
    per second within a wave.
    """

    def __init__(self, cell, ledger, seed, size, density):
        self.cell = cell
        self.ledger = ledger
        self.seed = seed
        self.size = size
        self.density = density
        self.draw = random.Random(f"{seed}/troubles")
        self.lock = threading.Lock()
        self.active_count = 0
        self.last_end = time.monotonic()
        self.event_lines = []
        self.threads = []
        self.failures = []
        self.healing = threading.Event()

    def schedule(self, seconds):
        """Returns [(at, kind, number)]: waves of troubles with calm between them."""
        kinds = [name for name, weight in KINDS for _ in range(weight)]
        drawn, at = [], self.draw.uniform(2, 4)
        while at < seconds - 4:
            wave = min(self.draw.uniform(4, 14), seconds - 2 - at)
            favourite = self.draw.choice(kinds)
            for _ in range(max(1, int(wave * self.draw.uniform(*self.density)))):
                kind = favourite if self.draw.random() < 0.3 else self.draw.choice(kinds)
                drawn.append((at + self.draw.uniform(0, wave), kind))
            at += wave + self.draw.choice([3, 6, 14, 16])
        drawn.sort()
        # Appended last: a trouble's number seeds its random draws, so the numbers of the other
        # troubles must not change.
        drawn += self.rooms(seconds) + self.restarts(seconds)
        return sorted((when, kind, number) for number, (when, kind) in enumerate(drawn))

    def rooms(self, seconds):
        draw = random.Random(f"{self.seed}/rooms")
        return [(draw.uniform(2, seconds - 4), "rooms_shrink") for _ in range(draw.randint(0, 3))]

    def restarts(self, seconds):
        draw = random.Random(f"{self.seed}/restarts")
        return [(draw.uniform(2, seconds - 4), "workers_restart") for _ in range(draw.randint(0, 4))]

    def play(self, began, drawn):
        for at, kind, number in drawn:
            time.sleep(max(0.0, began + at - time.monotonic()))
            thread = threading.Thread(target=self.run_trouble, args=(began, kind, number),
                                      daemon=True)
            thread.start()
            self.threads.append(thread)

    def run_trouble(self, began, kind, number):
        with self.lock:
            self.active_count += 1
        try:
            draw = random.Random(f"{self.seed}/{number}")
            getattr(self, kind)(draw, lambda what: self.note(began, f"{kind}: {what}"))
        except Exception as error:  # a fault of the soak itself, which the run reports
            self.failures.append(f"{kind}: {error!r}")
            raise
        finally:
            with self.lock:
                self.active_count -= 1
                self.last_end = time.monotonic()

    def note(self, began, what):
        self.event_lines.append(f"{time.monotonic() - began:7.2f} s  {what}")

    def quiet_since(self):
        """Returns when the latest trouble ended, or None while one is in progress."""
        with self.lock:
            return None if self.active_count else self.last_end

    def heal(self):
        """Waits for the current troubles, then removes all faults and starts stopped instances."""
        self.healing.set()
        for thread in self.threads:
            thread.join()
        for fault in ("works", "slow/0", "limited/0", "parts/"):
            self.cell.admin("PUT", f"/store/{fault}")
        for name in self.cell.instances:
            for way in ("store", "advice"):
                self.cell.proxies.set(f"{way} {name}", "works")
            self.cell.freeze(name, False)
            if not self.cell.lives(name):
                self.cell.start_instance(name)
        self.last_end = time.monotonic()

    def pause(self, seconds):
        """Sleeps for the given time, or until the run is over if that is sooner."""
        self.healing.wait(seconds)

    def names(self, draw, most):
        names = list(self.cell.instances)
        return draw.sample(names, draw.randint(1, min(most, len(names))))

    def restart_after(self, name, after):
        self.pause(after)
        with self.cell.lock:
            if not self.cell.lives(name):
                self.cell.start_instance(name)

    def together(self, what, names):
        threads = [threading.Thread(target=what, args=(name,), daemon=True) for name in names]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    # Instances.

    def stop_and_start(self, name, down=0.2):
        asked = time.monotonic()
        if not self.cell.ask_to_stop(name):
            return
        mistake = self.cell.wait_stopped(name)
        if mistake is not None and not self.cell.disturbed_since(name, asked):
            self.ledger.breaks("STOP", f"{name}: {mistake}")
        if not self.cell.records[name].should_live:  # no other trouble restarted it
            self.cell.kill_instance(name)
        self.restart_after(name, down)

    def stop_series(self, draw, note):
        gap = draw.choice([0.05, 0.3, 0.8, 2.0])
        names = self.names(draw, max(self.size, 2))
        note(f"{len(names)} instances, {gap} s apart")
        threads = []
        for name in names:
            threads.append(threading.Thread(target=self.stop_and_start, args=(name,), daemon=True))
            threads[-1].start()
            self.pause(gap)
        for thread in threads:
            thread.join()

    def stop_owners(self, draw, note):
        """Stops each owner as soon as it is found."""
        turns = draw.randint(2, 6)
        note(f"{turns} in a row")
        threads = []
        for _ in range(turns):
            owner = self.cell.owner()
            if owner is not None:
                threads.append(threading.Thread(target=self.stop_and_start, args=(owner,),
                                                daemon=True))
                threads[-1].start()
            self.pause(draw.choice([0.05, 0.4, 1.2]))
        for thread in threads:
            thread.join()

    def kill_owners(self, draw, note):
        turns, gap = draw.randint(1, 5), draw.choice([0.2, 1.0, 2.5])
        note(f"{turns} in a row, {gap} s apart")
        for _ in range(turns):
            owner = self.cell.owner()
            if owner is not None and self.cell.kill_instance(owner):
                self.restart_after(owner, draw.uniform(0.05, 1.0))
            self.pause(gap)

    def kill_several(self, draw, note):
        names = self.names(draw, len(self.cell.instances))
        down = {name: draw.uniform(0.05, 2.0) for name in names}
        note(f"{len(names)} of {len(self.cell.instances)} at once")
        for name in names:
            self.cell.kill_instance(name)
        self.together(lambda name: self.restart_after(name, down[name]), names)

    def kill_all(self, draw, note):
        note("all at once")
        for name in self.cell.instances:
            self.cell.kill_instance(name)
        self.together(lambda name: self.restart_after(name, draw.uniform(0.0, 1.0)),
                      list(self.cell.instances))

    def freeze(self, draw, note):
        seconds = draw.choice([0.2, 1.0, 3.0, 7.0])
        owner = self.cell.owner() if draw.random() < 0.5 else None
        names = [owner] if owner is not None else self.names(draw, 2)
        note(f"{names} for {seconds} s")
        for name in names:
            self.cell.freeze(name, True)
        self.pause(seconds)
        for name in names:
            self.cell.freeze(name, False)

    def hang_up(self, draw, note):
        """Sends SIGHUP with unchanged settings."""
        times = draw.randint(1, 8)
        note(f"{times} times")
        for _ in range(times):
            name = draw.choice(list(self.cell.instances))
            self.cell.hang_up(name)
            self.pause(draw.choice([0.02, 0.3]))

    def configurations(self, draw, note):
        times, gap = draw.randint(1, 8), draw.choice([0.02, 0.2, 1.0])
        note(f"{times} versions, {gap} s apart")
        for _ in range(times):
            stretch = draw.uniform(1.2, 2.0)
            self.cell.apply_next(lambda row: row["routes"][0].update(stretch=stretch))
            self.pause(gap)

    # The store.

    def store_away(self, draw, note):
        fault, seconds = draw.choice(STORE_FAULTS), draw.choice([0.3, 1.5, 4.0, 7.0])
        note(f"{fault} for {seconds} s")
        self.store_for(fault, "works", seconds)

    def store_slow(self, draw, note):
        each, seconds = draw.choice([5, 15, 30, 60]), draw.uniform(1, 6)
        note(f"{each} ms a transaction for {seconds:.1f} s")
        self.store_for(f"slow/{each}", "slow/0", seconds)

    def store_limited(self, draw, note):
        calls = draw.choice([3, 10, 25]) * len(self.cell.instances)
        seconds = draw.uniform(1, 6)
        note(f"{calls} calls a second for {seconds:.1f} s")
        self.store_for(f"limited/{calls}", "limited/0", seconds)

    def store_parts(self, draw, note):
        parts = [f"j{part}" for part in draw.sample(range(JOB_PARTS), draw.randint(1, JOB_PARTS))]
        if draw.random() < 0.3:
            parts.append("cell")
        seconds = draw.uniform(1, 5)
        note(f"{len(parts)} parts silent for {seconds:.1f} s{', the owners too' * ('cell' in parts)}")
        self.store_for("parts/" + ",".join(parts), "parts/", seconds)

    def store_for(self, fault, mended, seconds):
        with self.cell.faulty(self.cell.instances):
            self.cell.admin("PUT", f"/store/{fault}")
            self.pause(seconds)
            self.cell.admin("PUT", f"/store/{mended}")

    def store_forgets(self, draw, note):
        times = draw.randint(1, 3)
        note(f"its history, {times} times")
        with self.cell.faulty(self.cell.instances):
            for _ in range(times):
                self.cell.admin("PUT", "/store/forget")
                self.pause(draw.uniform(0.1, 1.0))

    # Connections.

    def routes_faulty(self, draw, note):
        fault, way = draw.choice(ROUTE_FAULTS), draw.choice(["store", "store", "advice"])
        names, seconds = self.names(draw, max(2, len(self.cell.instances) // 2)), draw.uniform(0.3, 6)
        delay = draw.choice([20, 150, 600])
        note(f"{fault} on the way to {way} of {len(names)} instances for {seconds:.1f} s")
        with self.cell.faulty(names):
            for name in names:
                self.cell.proxies.set(f"{way} {name}", fault, "all", delay)
            self.pause(seconds)
            for name in names:
                self.cell.proxies.set(f"{way} {name}", "works")

    def open_connections_silent(self, draw, note):
        fault = draw.choice(["hold_up", "hold_down", "silent"])
        names = self.names(draw, len(self.cell.instances))
        note(f"{fault}, for good, on what is open to the store from {len(names)} instances")
        with self.cell.faulty(names):
            for name in names:
                self.cell.proxies.set(f"store {name}", fault, "open")

    # Workers.

    def workers(self, draw, share=0.15):
        return draw.sample(range(self.cell.workers),
                           draw.randint(1, max(1, int(self.cell.workers * share))))

    def control_workers(self, numbers, what):
        for number in numbers:
            self.cell.admin("POST", f"/workers/{number}/{what}")

    def workers_crash(self, draw, note):
        numbers, replaced = self.workers(draw), draw.random() < 0.7
        note(f"{len(numbers)} workers, {'replaced' if replaced else 'for good'}")
        self.control_workers(numbers, "crash")
        self.pause(draw.uniform(0.1, ENTRY_EXPIRY_SECONDS))
        self.control_workers(numbers, "leave")
        if replaced:
            self.pause(draw.uniform(0.1, 2.0))
            self.control_workers(numbers, "replace")

    def workers_restart(self, draw, note):
        """Restarts workers under the same ids, at times twice; a new clock is behind or ahead."""
        numbers, times = self.workers(draw, 0.4), draw.choice([1, 1, 2])
        note(f"{len(numbers)} workers, {times} times")
        for _ in range(times):
            self.control_workers(numbers, "crash")
            self.pause(draw.uniform(0.1, 3.0))
            self.control_workers(numbers, f"restart/{draw.choice([0, 0, 10 ** 9])}")
            self.pause(draw.uniform(0.2, 2.0))

    def workers_leave(self, draw, note):
        numbers = self.workers(draw)
        note(f"{len(numbers)} workers")
        self.control_workers(numbers, "drain")
        self.pause(LEAVE_NOTICE_SECONDS)
        self.control_workers(numbers, "leave")
        self.pause(draw.uniform(0.1, 1.0))
        self.control_workers(numbers, "replace")

    def workers_silent(self, draw, note):
        numbers, seconds = self.workers(draw, 0.3), draw.choice([0.4, 1.5, 5.0])
        note(f"{len(numbers)} workers for {seconds} s")
        self.control_workers(numbers, "silence")
        self.pause(seconds)
        self.control_workers(numbers, "speak")

    def workers_late(self, draw, note):
        numbers, late = self.workers(draw, 0.3), draw.choice([100, 600, 2000])
        note(f"{len(numbers)} workers carry orders out {late} ms late for 4 s")
        self.control_workers(numbers, f"late/{late}")
        self.pause(4.0)
        self.control_workers(numbers, "late/0")

    def rooms_shrink(self, draw, note):
        numbers, left = self.workers(draw, 0.3), draw.choice([0, 25, 50, 75])
        seconds = draw.choice([0.5, 3.0, 8.0])
        note(f"{len(numbers)} workers have {left} % of their room for {seconds} s")
        self.control_workers(numbers, f"room/{left}")
        self.pause(seconds)
        self.control_workers(numbers, "room/100")


# (kind, weight of the kind in the draw)
KINDS = [("stop_series", 4), ("stop_owners", 3), ("kill_owners", 4), ("kill_several", 2),
         ("kill_all", 1), ("freeze", 3), ("hang_up", 2), ("configurations", 2), ("store_away", 2),
         ("store_slow", 2), ("store_limited", 2), ("store_parts", 1), ("store_forgets", 1),
         ("routes_faulty", 4), ("open_connections_silent", 2), ("workers_crash", 3),
         ("workers_leave", 2), ("workers_silent", 2), ("workers_late", 1)]
