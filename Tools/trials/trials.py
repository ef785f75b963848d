#!/usr/bin/env python3
# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
"""Plays days of a users' bench and writes what they were worth as a table.

    Tools/trials/trials.py --bench PROGRAM --site FILE [--site FILE ...] --out FOLDER --what WHAT

WHAT is `days` (the standard days, each with every seed of --seeds), `kinds` (each kind of trouble
that the bench tells of, with each of its variants, once and twice in an otherwise calm day) or
`pairs` (--count days with two troubles of the site's own list each, drawn from --seeds).

A day whose report is already in FOLDER is not played again, so an interrupted run resumes where it
stopped. The day's file is kept beside its report for a replay. Exit code 1 if a rule was broken.
"""

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import random
import re
import subprocess
import sys
import tomllib

# Start times of troubles, in seconds of the day: after the load has settled, and with a second one
# that meets the after-effects of the first.
ONCE = (6.0,)
TWICE = (6.0, 19.0)
# The variants (`how`) of each kind of trouble; a kind that is not listed has none.
VARIANTS = pathlib.Path(__file__).with_name("variants.json")


@dataclasses.dataclass(frozen=True)
class trial:
    site: pathlib.Path
    name: str
    seed: str
    day: dict | None = None  # None: the day of this name in the site file

    def file(self, folder: pathlib.Path, ending: str) -> pathlib.Path:
        return folder / f"{self.site.stem}.{self.name}.{self.seed}.{ending}"


@dataclasses.dataclass(frozen=True)
class outcome:
    worth: float
    broken: dict
    fault: str


def toml_value(value) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {toml_value(each)}" for key, each in value.items()) + " }"
    if isinstance(value, list):
        return "[" + ", ".join(toml_value(each) for each in value) + "]"
    return json.dumps(value)


def toml_day(day: dict) -> str:
    return "[[day]]\n" + "".join(f"{key} = {toml_value(value)}\n" for key, value in day.items())


def calm_day(site: dict) -> dict:
    return next(day for day in site["day"] if day["slot"] == "quiet")


def troubled_day(site: dict, name: str, troubles: list[dict]) -> dict:
    return {**calm_day(site), "name": name, "plan": [], "faults": troubles}


def kinds(bench: str, site: pathlib.Path) -> list[str]:
    told = subprocess.run([bench, "kinds", str(site)], capture_output=True, text=True, check=True)
    return re.findall(r"^([a-z_]+): ", told.stdout, re.MULTILINE)


def days_of_kinds(bench: str, path: pathlib.Path, occurrences) -> list[trial]:
    site = tomllib.loads(path.read_text())
    usual = {each["kind"]: each for each in reversed(site.get("troubles", []))}
    variants = json.loads(VARIANTS.read_text())
    days = []
    for kind in kinds(bench, path):
        for how in ["", *variants.get(kind, [])]:
            entry = {key: value for key, value in usual.get(kind, {}).items() if key != "how"}
            entry |= {"kind": kind} | ({"how": how} if how else {})
            for times in occurrences:
                name = f"{kind}-{how.replace(' ', '_') or 'plain'}-{len(times)}"
                troubles = [{**entry, "at": at} for at in times]
                days.append(trial(path, name, "0", troubled_day(site, name, troubles)))
    return days


def days_of_pairs(path: pathlib.Path, seeds: list[str], count: int) -> list[trial]:
    site = tomllib.loads(path.read_text())
    days = []
    for seed in seeds:
        draw = random.Random(f"{path.stem} {seed}")
        for number in range(count):
            chosen = draw.sample(site["troubles"], 2)
            troubles = [{**each, "at": round(draw.uniform(4, 24), 1)} for each in chosen]
            name = f"pair-{number}-" + "-".join(each["kind"] for each in chosen)
            days.append(trial(path, name, seed, troubled_day(site, name, troubles)))
    return days


def standard_days(path: pathlib.Path, seeds: list[str]) -> list[trial]:
    site = tomllib.loads(path.read_text())
    return [trial(path, day["name"], seed) for day in site["day"] for seed in seeds]


def play(bench: str, each: trial, folder: pathlib.Path, why: str) -> outcome:
    report = each.file(folder, "json")
    if not report.exists():
        day = each.name
        if each.day is not None:
            file = each.file(folder, "toml")
            file.write_text(toml_day(each.day))
            day = str(file)
        call = [bench, "run", str(each.site), day, "--no-cpu", "--report", str(report), "--why", why]
        if each.seed != "0":
            call += ["--seed", each.seed]
        done = subprocess.run(call, capture_output=True, text=True, check=False)
        if not report.exists():
            return outcome(float("nan"), {}, (done.stdout + done.stderr).strip()[-200:])
    told = json.loads(report.read_text())
    return outcome(told["G"], told["breaks"], told["fault"] or "")


def write_table(rows: list[tuple[trial, outcome]], file: pathlib.Path) -> None:
    with file.open("w") as out:
        out.write("| site | day | seed | worth | rules broken, faults |\n|---|---|---|---|---|\n")
        for each, end in rows:
            broken = " ".join(f"{rule} {count}" for rule, count in end.broken.items())
            trouble = " ".join(filter(None, (broken, end.fault.replace("\n", " "))))
            out.write(f"| {each.site.stem} | {each.name} | {each.seed} | {end.worth:.3f} | {trouble} |\n")


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", required=True, action="append", type=pathlib.Path)
    parser.add_argument("--out", required=True, type=pathlib.Path)
    parser.add_argument("--what", required=True, choices=["days", "kinds", "pairs"])
    parser.add_argument("--seeds", default="0", help="separated by commas; 0: the day's own")
    parser.add_argument("--twice-only", action="store_true", help="of kinds; halves the time")
    parser.add_argument("--count", type=int, default=20, help="days of pairs a seed")
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--why", default="trials")
    given = parser.parse_args()
    given.out.mkdir(parents=True, exist_ok=True)
    seeds = given.seeds.split(",")
    trials: list[trial] = []
    for site in given.site:
        if given.what == "days":
            trials += standard_days(site, seeds)
        elif given.what == "kinds":
            trials += days_of_kinds(given.bench, site, (TWICE,) if given.twice_only else (ONCE, TWICE))
        else:
            trials += days_of_pairs(site, seeds, given.count)
    rows = []
    with concurrent.futures.ThreadPoolExecutor(given.jobs) as pool:
        ends = pool.map(lambda each: play(given.bench, each, given.out, given.why), trials)
        for number, (each, end) in enumerate(zip(trials, ends), 1):
            rows.append((each, end))
            if end.broken or end.fault:
                print(f"{each.site.stem} {each.name} {each.seed}: {end.broken} {end.fault}", flush=True)
            if number % 20 == 0:
                print(f"{number} of {len(trials)} days", flush=True)
    write_table(rows, given.out / "table.md")
    return 1 if any(end.broken for _, end in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
