# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Makes the traces that the policies are measured on, from a seed, at the sizes of both yards.

    python3 Tools/traces/generate.py OUTPUT_DIRECTORY [--seeds 1-3] [--minutes 20]

For each yard and seed: a plain trace, a faulty one (wrong declarations, a wave of cancellations,
failing workers, a rack lost, a store outage, a zone cut), and one at ten times the load.
"""
import argparse
import json
import pathlib
import random

SECOND = 1_000_000

# workload: (tasks per minute, median run time in s, spread, has key). The spread is the sigma of a
# lognormal distribution, because real run times are far from the declared ones.
YARDS = {
    "periyar": {
        "zones": ["kakkanad", "edappally", "vyttila"],
        "workloads": {"preview": (60, 0.4, 0.5, False), "nightly-rebuild": (30, 90, 0.8, False),
                      "release-rebuild": (3, 200, 0.8, True), "manual-set": (2, 45, 0.5, True)},
        "wave": "nightly-rebuild", "rack": "kakkanad",
    },
    "thies": {
        "zones": ["mairie", "tribunal", "ecole"],
        "workloads": {"cue": (120, 0.25, 0.4, False), "episode-burn": (14, 240, 0.7, False),
                      "hearing-burn": (2, 300, 0.7, True), "broadcast-set": (2, 90, 0.5, True),
                      "alignment": (1, 3000, 0.5, False)},
        "wave": "episode-burn", "rack": "mairie",
    },
}


def line(at, do, **more):
    return {"at_us": int(at), "do": do, **{name: value for name, value in more.items() if value}}


def arrivals(yard, seed, minutes, factor):
    """Returns Poisson arrivals of tasks, each submitted to a random instance."""
    chance = random.Random(seed)
    instances = [f"{zone}-{index}" for zone in yard["zones"] for index in (1, 2)]
    actions = []
    for workload, (rate, median, spread, keyed) in yard["workloads"].items():
        at, count = 3 * SECOND, 0
        while True:
            at += chance.expovariate(rate * factor / 60) * SECOND
            if at > minutes * 60 * SECOND:
                break
            count += 1
            run = median * chance.lognormvariate(0, spread)
            actions.append(line(at, "submit", who=chance.choice(instances), workload=workload,
                                key=f"s{seed}-{count}" if keyed else "",
                                number=int(run * SECOND)))
    return actions


def faults(yard, seed, minutes, actions):
    """Returns troubles spread over the middle of the run; also lengthens some of `actions`."""
    chance = random.Random(seed + 1000)
    at = lambda part: minutes * 60 * SECOND * part
    zones = yard["zones"]
    made = []
    for action in actions:  # a tenth of the tasks, cues apart, run ten times as long
        if action["workload"] != "cue" and chance.random() < 0.1:
            action["number"] *= 10
    keyed = [action for action in actions if action.get("key") and action["at_us"] < at(0.3)]
    for action in keyed:  # a wave of cancellations within one second
        made.append(line(at(0.3) + chance.random() * SECOND, "cancel", who=action["who"],
                         workload=action["workload"], key=action["key"]))
    for number in (3, 4):
        worker = f"{zones[1]}-{number}"
        made += [line(at(0.2), "worker_fail", who=worker, number=1),
                 line(at(0.5), "worker_fail", who=worker)]
    for number in range(1, 9):  # the loss of a rack
        worker = f"{yard['rack']}-{number}"
        made += [line(at(0.4), "worker_kill", who=worker), line(at(0.6), "worker_reboot", who=worker)]
    made += [line(at(0.5), "store_outage", number=1), line(at(0.6), "store_outage")]
    cut_off = f"{zones[2]}-"
    for one in [cut_off + "1", cut_off + "2"]:
        others = [f"{zone}-{index}" for zone in zones[:2] for index in (1, 2)] + ["store"]
        for other in others:
            for pair in ((one, other), (other, one)):
                made += [line(at(0.65), "cut", who=pair[0], other=pair[1]),
                         line(at(0.8), "heal", who=pair[0], other=pair[1])]
    made += [line(at(0.25), "kill", who=f"{zones[0]}-1"), line(at(0.27), "start", who=f"{zones[0]}-1")]
    return made


def write(path, seed, yard, actions, minutes):
    header = {"seed": seed, "zones": 3, "instances": 2, "workers": 17,
              "until_us": (minutes + 2) * 60 * SECOND}
    actions.sort(key=lambda action: action["at_us"])
    path.write_text("".join(json.dumps(entry) + "\n" for entry in [header] + actions))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("output", type=pathlib.Path)
    parser.add_argument("--seeds", default="1-3")
    parser.add_argument("--minutes", type=int, default=20)
    given = parser.parse_args()
    first, last = map(int, given.seeds.split("-"))
    given.output.mkdir(parents=True, exist_ok=True)
    for name, yard in YARDS.items():
        for seed in range(first, last + 1):
            for variant, factor in (("plain", 1), ("faulty", 1), ("tenfold", 10)):
                minutes = given.minutes if factor == 1 else max(2, given.minutes // 4)
                actions = arrivals(yard, seed, minutes, factor)
                if variant == "faulty":
                    actions += faults(yard, seed, minutes, actions)
                write(given.output / f"{name}-{variant}-{seed}.jsonl", seed, yard, actions, minutes)


if __name__ == "__main__":
    main()
