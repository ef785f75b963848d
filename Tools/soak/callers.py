# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Callers that reuse their open connections until the instance at the other end is gone."""
import enum
import heapq
import http.client
import itertools
import json
import random
import threading
import time

from ledger import ACCEPTED
from platform_cell import ADMIN, CALLERS

DEADLINE_MS, TIMEOUT_SECONDS = 3000, 12.0
MOST_TRIES = 4
# If a connection closes without a reply later than this after the request was sent, the instance
# is assumed to have read the request.
READ_BY_SECONDS = 0.5
ANY_SHARE = 0.1


class Outcome(enum.Enum):
    ANSWERED = "answered"
    UNREACHABLE = "unreachable"
    CLOSED = "closed without a byte"
    CUT = "cut in the middle"
    SILENT = "silent"


class Answer:
    """The result of a call; the status is 0 unless a complete reply arrived."""

    def __init__(self, outcome, status=0, body=b""):
        self.outcome = outcome
        self.status = status
        self.body = body


class Connections:
    """The open connections of one caller, at most one to each instance."""

    def __init__(self, cell, ledger):
        self.cell = cell
        self.ledger = ledger
        self.open = {}
        self.admin = None
        self.calls = 0
        self.calls_under_stop = 0  # calls on open connections to instances sent SIGTERM

    def call(self, name, method, path, body=None):
        self.calls += 1
        connection = self.open.get(name)
        if connection is not None and self.cell.records[name].stop_asked_at is not None:
            self.calls_under_stop += 1
        if connection is None:
            connection = http.client.HTTPConnection("127.0.0.1", self.cell.port(name, CALLERS),
                                                    timeout=TIMEOUT_SECONDS)
            try:
                connection.connect()
            except OSError:
                return Answer(Outcome.UNREACHABLE)
            self.open[name] = connection
        sent_at = time.monotonic()
        answer = self.exchange(connection, method, path, body)
        if answer.outcome != Outcome.ANSWERED or connection.sock is None:
            connection.close()
            self.open.pop(name, None)
        self.check_cut(name, answer, sent_at, f"{method} {path}")
        return answer

    @staticmethod
    def exchange(connection, method, path, body):
        headers = {"Host": "docs.example", "X-Request-Deadline": str(DEADLINE_MS)}
        data = None if body is None else json.dumps(body)
        connection.auto_open = 0
        ended = Outcome.CLOSED
        try:
            connection.request(method, path, data, headers)
            reply = connection.getresponse()
            ended = Outcome.CUT
            return Answer(Outcome.ANSWERED, reply.status, reply.read())
        except TimeoutError:
            return Answer(Outcome.SILENT)
        except (http.client.RemoteDisconnected, http.client.NotConnected, ConnectionError):
            return Answer(ended)
        except (http.client.HTTPException, OSError):
            return Answer(Outcome.CUT)

    def check_cut(self, name, answer, sent_at, what):
        """Records CUT if a reply is truncated or a stopping instance drops a request it has read.

        Nothing is recorded if the soak killed, froze or restarted the instance during the call.
        """
        late = time.monotonic() - sent_at
        cut = answer.outcome == Outcome.CUT
        read = cut or (answer.outcome == Outcome.CLOSED and late > READ_BY_SECONDS)
        if not read or self.cell.disturbed_since(name, sent_at):
            return
        stopping = self.cell.records[name].stop_asked_at is not None
        if cut or stopping:
            self.ledger.breaks("CUT", f"{what} at {name}: {answer.outcome.value} after {late:.2f} s"
                                      f"{', under SIGTERM' if stopping else ''}")

    def notify_judge(self, path, body=None):
        for _ in range(3):
            try:
                if self.admin is None:
                    self.admin = http.client.HTTPConnection(
                        "127.0.0.1", self.cell.first_port + ADMIN, timeout=60)
                self.admin.request("POST", path, None if body is None else json.dumps(body))
                reply = self.admin.getresponse()
                reply.read()
                if reply.status != 200:
                    raise RuntimeError(f"{path}: {reply.status}")
                return
            except (http.client.HTTPException, OSError):
                self.admin = None
        raise RuntimeError(f"the judge does not hear {path}")

    def close(self):
        for connection in self.open.values():
            connection.close()


class Callers:
    """Threads that run scheduled actions: submit jobs, query their states, cancel them."""

    def __init__(self, cell, ledger, threads, seed):
        self.cell = cell
        self.ledger = ledger
        self.due = []
        self.order = itertools.count()
        self.changed = threading.Condition()
        self.stopped = False
        self.polling = True
        self.busy = 0  # number of threads that are running an action
        self.all_connections = []
        self.threads = [threading.Thread(target=self.work, args=(random.Random(f"{seed}/{n}"),),
                                         daemon=True) for n in range(threads)]
        self.failures = []
        for thread in self.threads:
            thread.start()

    def at(self, moment, action, job):
        with self.changed:
            heapq.heappush(self.due, (moment, next(self.order), action, job))
            self.changed.notify()

    def stop(self):
        with self.changed:
            self.stopped = True
            self.changed.notify_all()
        for thread in self.threads:
            thread.join(2 * TIMEOUT_SECONDS)

    def next_due(self):
        with self.changed:
            while not self.stopped:
                wait = self.due[0][0] - time.monotonic() if self.due else None
                if wait is not None and wait <= 0:
                    self.busy += 1
                    return heapq.heappop(self.due)[2:]
                self.changed.wait(wait)
        return None

    def idle(self):
        """Whether no action is running or overdue."""
        with self.changed:
            return self.busy == 0 and not (self.due and self.due[0][0] <= time.monotonic())

    def calls(self):
        """Returns (all calls, calls on open connections to instances sent SIGTERM)."""
        return (sum(each.calls for each in self.all_connections),
                sum(each.calls_under_stop for each in self.all_connections))

    def work(self, draw):
        connections = Connections(self.cell, self.ledger)
        self.all_connections.append(connections)
        try:
            while entry := self.next_due():
                action, job = entry
                action(connections, draw, job)
                with self.changed:
                    self.busy -= 1
        except Exception as error:  # a fault of the soak itself, which the run reports
            self.failures.append(repr(error))
            raise
        finally:
            connections.close()

    def choose(self, connections, draw):
        """Draws an instance that has an open connection or is ready.

        A share of calls (ANY_SHARE) goes to any instance, because the platform does the same while
        too few instances are ready.
        """
        if draw.random() < ANY_SHARE:
            return draw.choice(list(self.cell.records))
        names = [name for name, record in self.cell.records.items()
                 if name in connections.open or record.ready]
        return draw.choice(names) if names else draw.choice(list(self.cell.records))

    def path(self, job):
        kind = next(each for each in self.cell.yard["kinds"] if each["name"] == job.kind)
        return kind["path_prefix"] + job.id

    def call(self, connections, draw, method, job, body=None):
        name = self.choose(connections, draw)
        return name, connections.call(name, method, self.path(job), body)

    def submit(self, connections, draw, job):
        if not job.tries:
            connections.notify_judge(f"/jobs/{job.id}", job.body)
        name, answer = self.call(connections, draw, "POST", job, job.body)
        if answer.outcome != Outcome.UNREACHABLE:
            connections.notify_judge(f"/jobs/{job.id}/answers/{answer.status}")
            self.ledger.answered(job, answer.status, name)
        if answer.status in ACCEPTED:
            if len(job.tries) == 1 or job.tries[-2] not in ACCEPTED:
                self.after_acceptance(job, time.monotonic())
        elif job.accepted_at is None and len(job.tries) < MOST_TRIES:
            self.at(time.monotonic() + draw.uniform(0.2, 1.2), self.submit, job)

    def after_acceptance(self, job, now):
        plan = job.plan
        if plan.again_after is not None:
            self.at(now + plan.again_after, self.submit, job)
            plan.again_after = None
        if plan.cancel_after is not None:
            self.at(now + plan.cancel_after, self.cancel, job)
        self.at(now + 0.3, self.ask_state, job)

    def ask_state(self, connections, draw, job):
        if not self.polling or job.final:
            return
        self.ask_now(connections, draw, job)
        if not job.final:
            self.at(time.monotonic() + draw.uniform(0.3, 2.5), self.ask_state, job)

    def ask_now(self, connections, draw, job):
        with job.lock:
            asked_at = time.monotonic()
            name, answer = self.call(connections, draw, "GET", job)
            if answer.status == 410:
                self.ledger.unknown(job, name, asked_at)
            if answer.status != 200:
                return
            state = json.loads(answer.body)["state"]
            connections.notify_judge(
                f"/jobs/{job.id}/states/{state.replace('canceled', 'cancelled')}")
            self.ledger.shown(job, state, name)

    def cancel(self, connections, draw, job):
        if job.cancelled_at is not None or job.final:
            return
        connections.notify_judge(f"/jobs/{job.id}/cancel")
        job.cancel_asked = True
        _, answer = self.call(connections, draw, "DELETE", job)
        if answer.status in ACCEPTED:
            connections.notify_judge(f"/jobs/{job.id}/cancelled")
            job.cancelled_at = time.monotonic()
        elif answer.status != 410:
            self.at(time.monotonic() + 0.5, self.cancel, job)
