# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Jobs on the platform: submitted twice, shown by every instance, cancelled, and invalid."""
import sys

from platform_golden import (PlatformCell, Session, call, spec_of, state, submit, verdict, wait_state,
                             wait_until)

PREVIEW, REBUILD, WATCH = "0000000000000001", "0000000000000002", "0000000000000003"
UNKNOWN = "00000000000000ff"


def mistakes(session, cell):
    session.note("# what is wrong is refused for good, with the reason")
    for shown, body in [
            ("no steps", {"spec": "x", "phases": []}),
            ("a step without tasks", {"spec": "x", "phases": [{"cpu": 100}]}),
            ("steps in a circle", {"spec": "x", "phases": [{"count": 1, "since_rev": [1]},
                                                           {"count": 1, "since_rev": [0]}]}),
            ("a step that is not there", {"spec": "x", "phases": [{"count": 1, "since_rev": [7]}]}),
            ("4001 bytes", {"spec": "x" * 4001, "phases": [{"count": 1}]}),
            ("a task larger than any worker", {"spec": "x", "phases": [{"count": 1, "cpu": 64000}]}),
            ("a text for a number", {"spec": "x", "phases": [{"count": "1"}]})]:
        call(session, cell, "POST", "instance-0", "page-preview", UNKNOWN, body, shown)
    call(session, cell, "POST", "instance-0", "page-preview", "none", {}, "an id that is none")
    call(session, cell, "GET", "instance-0", "page-preview", UNKNOWN)
    call(session, cell, "DELETE", "instance-1", "page-preview", UNKNOWN)


def main():
    session = Session("session_platform_jobs")
    with PlatformCell("periyar", 25000, instances=3, workers=9, run_time=0.1) as cell:
        cell.start()
        session.note("# the same job at two instances runs once")
        preview = spec_of(cell, "page-preview")
        submit(session, cell, "instance-0", "page-preview", PREVIEW, preview)
        submit(session, cell, "instance-1", "page-preview", PREVIEW, preview)
        wait_state(session, cell, "instance-2", "page-preview", PREVIEW, "completed")
        session.note(f"starts: {cell.report()['starts']}")
        submit(session, cell, "instance-2", "page-preview", PREVIEW, preview)
        session.note(f"starts: {cell.report()['starts']}")
        session.note("# steps follow each other; all instances show the job")
        submit(session, cell, "instance-1", "site-rebuild", REBUILD, spec_of(cell, "site-rebuild"))
        for instance in cell.instances:
            wait_state(session, cell, instance, "site-rebuild", REBUILD, "completed")
        session.note("# what lasts runs until it is cancelled")
        submit(session, cell, "instance-2", "live-watch", WATCH,
               spec_of(cell, "live-watch", long_running=True))
        wait_until("all to run", lambda: cell.report()["runs"] == 8)
        wait_state(session, cell, "instance-0", "live-watch", WATCH, "active")
        cell.admin("POST", f"/jobs/{WATCH}/cancel")
        call(session, cell, "DELETE", "instance-1", "live-watch", WATCH)
        wait_state(session, cell, "instance-2", "live-watch", WATCH, "canceled")
        wait_until("none to run", lambda: cell.report()["runs"] == 0)
        mistakes(session, cell)
        session.note("# a queue and its count; a new version takes the queue away")
        wait_until("nothing to wait",
                   lambda: state(cell, "instance-0", "site-rebuild", REBUILD) == "completed")
        call(session, cell, "GET", "instance-1", "page-preview")
        cell.apply(lambda configuration: configuration["routes"].pop(0))
        for instance in cell.instances:
            wait_until("the version to be in force", lambda instance=instance: cell.log(
                instance).count('"configuration_in_force","version":2') == 1)
        call(session, cell, "GET", "instance-1", "page-preview")
        verdict(session, cell)
    return session.finish()


if __name__ == "__main__":
    sys.exit(main())
