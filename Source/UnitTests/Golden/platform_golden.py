# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Golden sessions of instances on the stand-in of the users' platform."""
import json

from golden import Session, http, wait_until  # noqa: F401  sets the path for the next import
from platform_cell import PlatformCell  # noqa: F401


def spec_of(cell, kind, **changes):
    """Returns a submission of a job kind in the yard's file, with changes to its first step."""
    steps = [{"count": step["count"], "cpu": step["cpu_millis"], "mem_mb": 100,
              "estimate_ms": int(step["estimate"].removesuffix("ms"))}
             for step in kind_of(cell, kind)["steps"]]
    for number in range(1, len(steps)):
        steps[number]["since_rev"] = [number - 1]
    steps[0].update(changes)
    return {"spec": kind, "phases": steps}


def kind_of(cell, kind):
    return next(each for each in cell.yard["kinds"] if each["name"] == kind)


def url_of(cell, instance, kind, job=""):
    return f"http://{cell.address(instance)}{kind_of(cell, kind)['path_prefix']}{job}"


def call(session, cell, method, instance, kind, job="", body=None, shown=None):
    """Sends a caller's request and records it with its reply; returns the status."""
    host = kind_of(cell, kind)["host"]
    status, headers, answer = http(method, url_of(cell, instance, kind, job), body, host=host)
    kept = {name: value for name, value in headers.items() if name == "Retry-After"}
    session.note(f"> {method} {kind_of(cell, kind)['path_prefix']}{job} "
                 f"{shown or (json.dumps(body) if body else '')}".rstrip())
    session.note(f"< {status} {json.dumps(kept)} {session.alike(answer.decode())}")
    return status


def submit(session, cell, instance, kind, job, body):
    """Registers a job with the judge, submits it, and reports the status to the judge."""
    cell.admin("POST", f"/jobs/{job}", body)
    status = call(session, cell, "POST", instance, kind, job, body, shown="a job")
    cell.admin("POST", f"/jobs/{job}/answers/{status}")
    return status


def state(cell, instance, kind, job):
    """Returns the job's state and reports it to the judge; None unless the status is 200."""
    status, _, answer = http("GET", url_of(cell, instance, kind, job),
                             host=kind_of(cell, kind)["host"])
    if status != 200:
        return None
    reported = json.loads(answer)["state"]
    cell.admin("POST", f"/jobs/{job}/states/{reported.replace('canceled', 'cancelled')}")
    return reported


def wait_state(session, cell, instance, kind, job, wanted):
    wait_until(f"{job} to be {wanted}", lambda: state(cell, instance, kind, job) == wanted)
    session.note(f"{job} is {wanted}")


def verdict(session, cell):
    session.note(f"broken rules: {cell.report()['violations']}")
