#!/usr/bin/env python3
"""Writes generated short days with several overlapping disruptions of the newer kinds.

  short_days.py DIR FIRST LAST [--focus KIND,...]    one file a seed: DIR/short_SEED.toml
"""
import argparse, random

KINDS = {
    "cut_workers": lambda r: dict(kind="node_cut", share=r.uniform(.1, .4), for_s=r.uniform(1.5, 7), how="servers" + r.choice(["", " one_way", " reborn", " across", " one_way reborn", " reborn across"])),
    "cut_vms": lambda r: dict(kind="node_cut", share=r.uniform(.1, .4), for_s=r.uniform(1, 6), how=r.choice(["", "all", "leader", "giver", "all giver", "renewed"])),
    "worker_paths": lambda r: dict(kind="srv_cut", share=r.uniform(.1, .4), x=r.uniform(.2, .7), for_s=r.uniform(1.5, 7), how=r.choice(["fronts", "some", "some lossy", "one_way", "reset", "reborn", "fronts reborn", "some reborn"])),
    "clock": lambda r: dict(kind="clock_step", x=r.choice([800, 2000, 3500, 5000]), share=r.choice([.3, .6, 1.0]), for_s=r.uniform(1, 6), how=r.choice(["back", "ahead"])),
    "freeze": lambda r: dict(kind="node_freeze", share=r.uniform(.05, .3), for_s=r.uniform(1, 5), how=r.choice(["renewed", "leader", "giver", "", "renewed race"])),
    "roll": lambda r: dict(kind="roll_term", share=r.uniform(.2, .8), x=float(r.randint(1, 3)), gap_s=r.uniform(.5, 1.5), how=r.choice(["starter", "leader", "busy", "starter busy"])),
    "leave": lambda r: dict(kind="scale_in", share=r.uniform(.05, .25), x=r.uniform(1.5, 3), for_s=r.uniform(2, 5), how=r.choice(["spot", "reclaim", ""])),
    "store_down": lambda r: dict(kind="platform_down", for_s=r.uniform(1.5, 7), how=r.choice(["silent lapse", "busy", "reset lapse", "nodes busy", "nodes many leader", "nodes revoke", "nodes leader", "log", "silent"]), share=r.uniform(.2, .6)),
    "store_slow": lambda r: dict(kind="platform_slow", x=r.choice([20.0, 60.0]), for_s=r.uniform(1.5, 5)),
    "store_lost": lambda r: dict(kind="platform_lost", x=r.uniform(.2, .5), for_s=r.uniform(2, 6), how=r.choice(["", "late"])),
    "store_compact": lambda r: dict(kind="platform_compact", x=r.uniform(1, 6), for_s=1.0, how=r.choice(["rewind", "rebalance", "drain", "keyed"])),
    "herd": lambda r: dict(kind="herd_kill", share=r.choice([.6, 1.0]), for_s=r.uniform(.3, 3), how=r.choice(["taken", "power", "taken all", ""])),
    "after_ack": lambda r: dict(kind="after_ack_kill", for_s=r.uniform(.5, 3), count=r.randint(1, 3), how=r.choice(["taken", "kill", "timed", ""])),
    "late": lambda r: dict(kind="applied_late", x=r.uniform(.03, .5), for_s=r.uniform(3, 8), how=r.choice(["orders", "grants", "all", "all", "grants"])),
    "store_cut": lambda r: dict(kind="core_cut", count=r.randint(1, 4), for_s=r.uniform(1.5, 6), how=r.choice(["lure", "split", "leader race", "one_way", "all leader", "reset", "near"])),
    "kill": lambda r: dict(kind="node_kill", on="core", count=r.randint(1, 3), for_s=r.uniform(.2, 3), how=r.choice(["leader race drain", "meet drain", "giver", "leader", "leader hard", "renewed"])),
    "replace": lambda r: dict(kind="replace_core", x=r.uniform(.5, 3), how=r.choice(["leader", "planned", "planned leader", "giver"])),
    "zone": lambda r: dict(kind="zone_cut", for_s=r.uniform(1.5, 6), how=r.choice(["drop", "", "reset"])),
    "crash": lambda r: dict(kind="srv_crash", share=r.uniform(.05, .25), for_s=r.uniform(1, 5), how=r.choice(["dark", "gone", "rack", "joined"])),
    "flap": lambda r: dict(kind="srv_flap", share=r.uniform(.05, .2), gap_s=r.uniform(.7, 2), for_s=r.uniform(2, 6)),
    "reuse": lambda r: dict(kind="replace_with_reuse", share=r.uniform(.05, .15)),
    "conns": lambda r: dict(kind="reset_conns", share=r.uniform(.1, .5), x=r.uniform(.3, 1)),
    "slow_vm": lambda r: dict(kind="node_slow", share=r.uniform(.1, .3), x=5.5, for_s=r.uniform(1.5, 5)),
    "hang": lambda r: dict(kind="srv_grey", how=r.choice(["hang", "mute", "reset"]), share=.14, for_s=5.0, x=.45),
}
FOCUS = ["cut_workers", "worker_paths", "clock", "freeze", "late", "store_cut", "kill", "store_down"]

def text(v):
    return f'"{v}"' if isinstance(v, str) else str(v) if isinstance(v, int) else f"{v:.2f}"

def long_fault(r):
    for_s = r.uniform(9.5, 14)
    return r.choice([
        lambda: dict(kind="node_cut", share=r.uniform(.1, .4), for_s=for_s, how="servers" + r.choice(["", " one_way", " across"])),
        lambda: dict(kind="srv_cut", share=r.uniform(.1, .4), x=r.uniform(.5, 1), for_s=for_s, how=r.choice(["fronts", "some", "some lossy", "one_way"])),
    ])()

def day(seed, focus, long):
    r = random.Random(seed)
    names = [r.choice(focus) for _ in range(3)] + [r.choice(list(KINDS)) for _ in range(r.randint(2, 4))]
    length = r.uniform(26, 34) if long else r.uniform(13, 20)
    faults = [dict(KINDS[n](r), at=r.uniform(1.5, length - 3)) for n in names]
    if long:
        cut = dict(long_fault(r), at=r.uniform(3, 10))
        late = dict(kind="applied_late", x=r.uniform(.2, .6), for_s=r.uniform(3, 8), how=r.choice(["grants", "all", "orders"]), at=max(.5, cut["at"] - r.uniform(.5, 5)))
        faults = [cut, late, dict(long_fault(r), at=r.uniform(8, 15))] + faults[:r.randint(1, 4)]
    lines = ["[[day]]", f'name = "short-{seed}"', 'slot = "trouble"', f"length_s = {length:.2f}", "plan = []", "faults = ["]
    lines += ["  { " + ", ".join(f"{k} = {text(v)}" for k, v in f.items()) + " }," for f in sorted(faults, key=lambda f: f["at"])]
    return "\n".join(lines + ["]", ""])

p = argparse.ArgumentParser()
p.add_argument("dir"); p.add_argument("first", type=int); p.add_argument("last", type=int); p.add_argument("--long", action="store_true", help="days of 26 to 34 s with cuts of workers that outlast a lease of 10 s")
p.add_argument("--focus", default=",".join(FOCUS))
a = p.parse_args()
for seed in range(a.first, a.last + 1):
    with open(f"{a.dir}/short_{seed}.toml", "w") as f: f.write(day(seed, a.focus.split(","), a.long))
