# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Generates the committed traces of named situations in Source/UnitTests/Traces."""
import json
import pathlib
import random

SECOND = 1_000_000
TRACES = pathlib.Path(__file__).resolve().parents[2] / "Source/UnitTests/Traces"


def line(at, do, **more):
    return {"at_us": int(at * SECOND), "do": do, **{name: value for name, value in more.items() if value}}


def load(begin, end, rate, instances, seed=1, keys=40):
    """Returns requests of every kind through all instances; keys are used repeatedly."""
    chance = random.Random(seed)
    made, at = [], begin
    while at < end:
        at += chance.expovariate(rate)
        workload = chance.choice(["preview", "preview", "preview", "rebuild", "nightly", "set"])
        key = f"k{chance.randrange(keys)}" if workload == "rebuild" or chance.random() < 0.4 else ""
        run = (int(key[1:]) * 7919 % 1500 + 10) if key else chance.randrange(10, 1500)
        made.append(line(at, "submit", who=chance.choice(instances), workload=workload, key=key,
                         number=run * 1000))
    return made


def both_ways(at, until, one, other):
    return [line(at, "cut", who=one, other=other), line(at, "cut", who=other, other=one),
            line(until, "heal", who=one, other=other), line(until, "heal", who=other, other=one)]


def cut_zone():
    """A zone cannot reach the table and the other zone for two hours; its owner dies meanwhile."""
    instances = ["a-1", "a-2", "b-1", "b-2"]
    made = load(4, 30, 1, instances) + load(60, 7300, 0.05, instances, seed=2)
    for own in ("a-1", "a-2"):
        for other in ("b-1", "b-2", "store"):
            made += both_ways(30, 7230, own, other)
    made += [line(600, "kill", who="a-1"), line(1200, "start", who="a-1"),
             line(3000, "kill", who="a-2"), line(3100, "start", who="a-2")]
    return {"seed": 1, "zones": 2, "instances": 2, "workers": 5, "until_us": 7400 * SECOND}, made


def replaced_in_turn():
    """Every instance is stopped gracefully and restarted, one after the other, under load."""
    instances = ["a-1", "a-2", "a-3"]
    made = load(4, 60, 8, instances)
    for number, name in enumerate(instances):
        made += [line(10 + 15 * number, "stop", who=name), line(17 + 15 * number, "start", who=name)]
    return {"seed": 2, "zones": 1, "instances": 3, "workers": 6, "until_us": 150 * SECOND}, made


def cancellations():
    """600 cancellations arrive within a second, while previews must still be served."""
    chance = random.Random(3)
    made = [line(4 + index / 500, "submit", who="a-1", workload="nightly", key=f"w{index}",
                 number=2 * SECOND) for index in range(600)]
    made += [line(8 + chance.random(), "cancel", who=chance.choice(["a-1", "a-2"]),
                  workload="nightly", key=f"w{index}") for index in range(600)]
    made += [line(8 + index / 50, "submit", who="a-2", workload="preview", number=20_000)
             for index in range(100)]
    return {"seed": 3, "zones": 1, "instances": 2, "workers": 5, "until_us": 120 * SECOND}, made


def paused_twice():
    """The owner is paused past its window in the middle of a send, twice, during a table outage."""
    instances = ["a-1", "a-2"]
    made = load(4, 60, 6, instances, seed=4)
    made += [line(10, "pause", who="a-1"), line(22, "resume", who="a-1"),
             line(22, "pause", who="a-2"), line(34, "resume", who="a-2"),
             line(18, "store_outage", number=1), line(40, "store_outage")]
    return {"seed": 4, "zones": 1, "instances": 2, "workers": 5, "until_us": 150 * SECOND}, made


def answers_lost():
    """Replies to table writes are lost repeatedly, and an owner is killed in between."""
    made = load(4, 50, 6, ["a-1", "a-2"], seed=5)
    made += [line(at, "store_lose", number=3) for at in range(8, 40, 4)]
    made += [line(20, "kill", who="a-1"), line(26, "start", who="a-1")]
    return {"seed": 5, "zones": 1, "instances": 2, "workers": 5, "until_us": 150 * SECOND}, made


def rack_lost():
    """Two of five workers die with the tasks that they run, and restart without them."""
    made = load(4, 50, 6, ["a-1", "a-2"], seed=6)
    for worker in ("aw-1", "aw-2"):
        made += [line(15, "worker_kill", who=worker), line(40, "worker_reboot", who=worker)]
    return {"seed": 6, "zones": 1, "instances": 2, "workers": 5, "until_us": 150 * SECOND}, made


def main():
    for situation in (cut_zone, replaced_in_turn, cancellations, paused_twice, answers_lost, rack_lost):
        header, actions = situation()
        actions.sort(key=lambda action: action["at_us"])
        text = "".join(json.dumps(entry) + "\n" for entry in [header] + actions)
        (TRACES / (situation.__name__ + ".jsonl")).write_text(text)


if __name__ == "__main__":
    main()
