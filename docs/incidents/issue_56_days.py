#!/usr/bin/env python3
"""Writes generated long days in the style of long_day_take_overs.toml, one file a seed.

  issue_56_days.py SITE DIR FIRST LAST    DIR/long_SEED.toml: 100 to 240 s, 100 to 300 entries of planned
                                          work, bursts of the lasting class of the site, and every 15 to 25 s
                                          a series of roll_term, one platform_down of 2 to 4 s and one to three
                                          faults that take workers while it lasts or just before it
  seeds from 1000 on                      more bursts of the lasting class, and each series of roll_term
                                          goes on until 10 s after the outage
  seeds from 2000 on                      the outages are 28 to 36 s apart, a burst of the lasting class comes
                                          just before each, workers are lost for good or cut off, and
                                          roll_term goes on for 22 s, without any other fault after the first 6 s
  seeds from 3000 on                      the same with less roll_term, so that most VMs are not stopping: only
                                          series around the outages, of a quarter to a half of the VMs one by one

Up to 3000 the series of roll_term overlap: for most of the day every VM is stopped again within 7 s.

A site without a lasting class gets bursts of all its traffic instead.
"""
import random, re, sys
from issue_50_days import entry, uniform, write_day

def lasting_class(site):
    for line in open(site):
        if "lasts = true" in line: return re.search(r'name = "([^"]+)"', line).group(1)
    return None

PLANNED = {
    "config_change": lambda r: dict(how=r.choice(["route", "idle", "weights", "timeout"])),
    "release": lambda r: dict(share=uniform(r, .05, .3)),
    "scale_in": lambda r: dict(share=uniform(r, .04, .12)),
    "scale_out": lambda r: dict(share=uniform(r, .04, .12)),
    "hup": lambda r: dict(share=uniform(r, .1, .6), gap_s=uniform(r, .2, 1.4)),
    "roll_term": lambda r: dict(share=uniform(r, .2, .95), x=r.randint(1, 2), gap_s=uniform(r, .5, 2)),
    "big_config": lambda r: dict(count=r.randint(6, 60)),
}

def planned(r, rolls):
    kind = r.choice([k for k in PLANNED if rolls or k != "roll_term"])
    return dict(kind=kind, **PLANNED[kind](r))

def workers_lost(r):
    return r.choice([
        lambda: dict(kind="srv_crash", share=uniform(r, .1, .3), for_s=uniform(r, .5, 4), how=r.choice(["gone", "dark"])),
        lambda: dict(kind="node_cut", share=uniform(r, .15, .35), for_s=uniform(r, 3, 7), how="servers reborn"),
        lambda: dict(kind="scale_in", share=uniform(r, .06, .15), x=uniform(r, 1.2, 2.5), for_s=uniform(r, 2, 4), how="reclaim"),
    ])()

def burst(r, lasting, at, longest):
    of_class = {"class": lasting} if lasting else {}
    most = 6 if lasting else 2
    return entry(at, {"kind": "burst", **of_class, "x": uniform(r, 1.4, most), "for_s": uniform(r, 2, longest)})

def workers_lost_for_good(r):
    return r.choice([
        lambda: dict(kind="srv_crash", share=uniform(r, .1, .25), for_s=.5, how="gone"),
        lambda: dict(kind="scale_in", share=uniform(r, .06, .15), x=uniform(r, 1.2, 2.5), for_s=2.0, how="reclaim dry"),
    ])()

def group(r, at, rolling_s):
    until = at + rolling_s
    rolls, t = [], at - uniform(r, 1, 4)
    while t < until:
        rolls.append(entry(round(t, 2), dict(kind="roll_term", share=uniform(r, .5, .95), x=r.randint(1, 2), gap_s=uniform(r, .5, 1.9))))
        t += uniform(r, 2, 5)
    faults = [entry(round(at, 2), dict(kind="platform_down", for_s=uniform(r, 2, 4), how=r.choice(["reset", "silent", "busy"])))]
    for _ in range(r.randint(1, 3)):
        faults.append(entry(uniform(r, at - 1.5, at + 2), workers_lost(r)))
    return rolls, faults

def few_rolls(r, at):
    rolls, t = [], at - uniform(r, 1, 3)
    while t < at + 18:
        rolls.append(entry(round(t, 2), dict(kind="roll_term", share=uniform(r, .25, .5), x=1, gap_s=uniform(r, 1, 1.8))))
        t += uniform(r, 5, 7)
    return rolls

def quiet_group(r, at, lasting, few):
    rolls = few_rolls(r, at) if few else group(r, at, 22)[0]
    faults = [burst(r, lasting, uniform(r, at - 6, at - 3), 2.5)]
    faults.append(entry(round(at, 2), dict(kind="platform_down", for_s=uniform(r, 2, 3.5), how=r.choice(["reset", "silent", "busy"]))))
    faults.append(entry(uniform(r, at - 1, at), dict(kind="node_cut", share=uniform(r, .15, .35), for_s=uniform(r, 3, 5.5), how="servers")))
    for _ in range(r.randint(1, 2)):
        faults.append(entry(uniform(r, at + .5, at + 1.5), workers_lost_for_good(r)))
    return rolls, faults

def with_plan(day, plan):
    plan.sort(key=lambda e: float(e.split()[2].rstrip(",")))
    return day.replace("plan = []", "\n".join(["plan = ["] + [f"  {{ {e} }}," for e in plan] + ["]"]))

def long_day(seed, lasting):
    r = random.Random(seed * 130363)
    dense, quiet, few = seed >= 1000, seed >= 2000, seed >= 3000
    length = uniform(r, 100, 240)
    plan, faults, at = [], [], uniform(r, 12, 22)
    while at < length - 3:
        rolls, lost = quiet_group(r, at, lasting, few) if quiet else group(r, at, 10 if dense else 5)
        plan, faults = plan + rolls, faults + lost
        if not quiet and (dense or r.random() < .6): faults.append(burst(r, lasting, uniform(r, at - 9, at - 3), 3 if dense else 5))
        at += uniform(r, 28, 36) if quiet else uniform(r, 15, 25)
    while len(plan) < min(300, length * 1.3):
        plan.append(entry(uniform(r, 1, length - 2), planned(r, not few)))
    return with_plan(write_day(f"long-{seed}", length, faults, []), plan)

if __name__ == "__main__":
    lasting = lasting_class(sys.argv[1])
    for seed in range(int(sys.argv[3]), int(sys.argv[4]) + 1):
        with open(f"{sys.argv[2]}/long_{seed}.toml", "w") as f: f.write(long_day(seed, lasting))
