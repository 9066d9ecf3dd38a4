#!/usr/bin/env python3
"""Writes generated days with disruptions of the newer kinds, one file a seed.

  issue_50_days.py SITE DIR FIRST LAST            DIR/new_SEED.toml: 32 to 42 s, two to four entries of the
                                                  site's own troubles, three to six of the newer kinds, and in
                                                  half of the days a final fault
  issue_50_days.py SITE DIR FIRST LAST --gangs    DIR/gang_SEED.toml: 16 to 24 s, three bursts of jobs with
                                                  gangs and four to six entries of the newer kinds
"""
import argparse, random, re


def uniform(r, a, b): return round(r.uniform(a, b), 2)

NEWER = [
    lambda r: dict(kind="node_cut", share=uniform(r, .08, .35), for_s=uniform(r, 2, 9), how="servers" + r.choice(["", " one_way", " reborn", " across", " one_way reborn", " reborn across", " reset", " refuse"])),
    lambda r: dict(kind="srv_cut", share=uniform(r, .1, .4), x=uniform(r, .2, .8), for_s=uniform(r, 2, 9), how=r.choice(["fronts", "some", "some lossy", "one_way", "reset", "reborn", "fronts reborn", "some reborn", "some lossy reborn", ""])),
    lambda r: dict(kind="clock_step", x=r.choice([800, 2000, 3500, 6000]), share=r.choice([.3, .6, 1.0]), for_s=uniform(r, 1, 8), how=r.choice(["back", "ahead", ""])),
    lambda r: dict(kind="node_freeze", share=uniform(r, .05, .3), for_s=uniform(r, 1, 6), how=r.choice(["renewed", "giver", "renewed race", "renewed meet", "leader hard"])),
    lambda r: dict(kind="node_freeze", on="core", count=r.randint(1, 3), for_s=uniform(r, 1, 6), how=r.choice(["renewed", "giver", "leader", "renewed hard"])),
    lambda r: dict(kind="roll_term", share=uniform(r, .2, 1), x=float(r.randint(1, 4)), gap_s=uniform(r, .4, 1.5), how=r.choice(["starter", "starter busy", "leader busy", "starter leader"])),
    lambda r: dict(kind="scale_in", share=uniform(r, .05, .25), x=uniform(r, 1.5, 3), for_s=uniform(r, 2, 6), how=r.choice(["spot", "reclaim", "reclaim dry", "spot dry"])),
    lambda r: dict(kind="platform_down", for_s=uniform(r, 2, 8), how=r.choice(["silent lapse", "busy lapse", "reset lapse", "nodes busy revoke", "nodes many leader", "nodes silent revoke meet", "nodes reset leader", "log", "tables", "silent"]), share=uniform(r, .2, .6)),
    lambda r: dict(kind="platform_lost", x=uniform(r, .2, .6), for_s=uniform(r, 2, 7), how="late"),
    lambda r: dict(kind="platform_compact", x=uniform(r, 1, 6), for_s=1.0, how=r.choice(["rewind", "rebalance", "drain", "keyed", "keyed drain", "rewind drain"])),
    lambda r: dict(kind="herd_kill", share=r.choice([.6, 1.0]), for_s=uniform(r, .3, 4), how=r.choice(["taken", "taken all", "power", "taken power"])),
    lambda r: dict(kind="after_ack_kill", for_s=uniform(r, .5, 4), count=r.randint(1, 3), how=r.choice(["taken", "taken gone", "timed", "kill"])),
    lambda r: dict(kind="applied_late", x=uniform(r, .03, .6), for_s=uniform(r, 3, 9), how=r.choice(["orders", "grants", "all", "all", "grants"])),
    lambda r: dict(kind="core_cut", count=r.randint(1, 4), for_s=uniform(r, 2, 8), how=r.choice(["lure", "split", "one_way", "all leader", "near", "both", "relieve", "behind", "seeds", "oldest", "leader race", "lure race"])),
    lambda r: dict(kind="node_kill", on="core", count=r.randint(1, 3), for_s=uniform(r, .2, 4), how=r.choice(["leader race drain", "meet drain", "giver", "leader hard", "renewed", "renewed race", "giver drain"])),
    lambda r: dict(kind="replace_core", x=uniform(r, .5, 3), how=r.choice(["leader", "planned", "planned leader", "giver", "renewed"])),
    lambda r: dict(kind="node_cut", share=uniform(r, .1, .4), for_s=uniform(r, 1, 8), how=r.choice(["all", "leader", "giver", "all giver", "renewed", "all renewed race", "turn"])),
    lambda r: dict(kind="srv_crash", share=uniform(r, .05, .25), for_s=uniform(r, 1, 6), how=r.choice(["dark", "gone", "rack", "joined", ""])),
    lambda r: dict(kind="hup", share=.3, gap_s=1.0, for_s=3.0),
    lambda r: dict(kind="reset_conns", share=uniform(r, .1, .5), x=uniform(r, .3, 1)),
    lambda r: dict(kind="replace_with_reuse", share=uniform(r, .05, .2), how=r.choice(["drain", "dark", "side", ""])),
]
CLOSING = ["power_off_all", "kill_all", "wipe_after_ack"]

def text(v): return f'"{v}"' if isinstance(v, str) else str(v)

def own_troubles(site):
    block = re.search(r"^troubles = \[\n(.*?)^\]", open(site).read(), re.M | re.S).group(1)
    return [l.strip().rstrip(",").strip("{} ") for l in block.splitlines() if l.strip()]

def entry(at, fields):
    return ", ".join([f"at = {at}"] + [f"{k} = {text(v)}" for k, v in fields.items()])

def write_day(name, length, entries, closing):
    entries.sort(key=lambda e: float(e.split()[2].rstrip(",")))
    lines = ["[[day]]", f'name = "{name}"', 'slot = "trouble"', f"length_s = {length}"] + closing
    return "\n".join(lines + ["plan = []", "faults = ["] + [f"  {{ {e} }}," for e in entries] + ["]", ""])

def closing_fault(r, probability):
    if r.random() >= probability: return []
    return [f'closing = {{ kind = "{r.choice(CLOSING)}", down_s = {uniform(r, .5, 3)}, how = "{r.choice(["taken", "all", "timed", ""])}" }}']

def usual_day(seed, troubles):
    r = random.Random(seed)
    length = uniform(r, 32, 42)
    entries = [f"at = {uniform(r, 1, length - 6)}, {t}" for t in r.sample(troubles, r.randint(2, 4))]
    focus = r.sample(NEWER, 2)
    for f in [r.choice(focus + NEWER[:3]) for _ in range(r.randint(3, 6))]:
        entries.append(entry(uniform(r, 1, length - 4), f(r)))
    return write_day(f"new-{seed}", length, entries, closing_fault(r, .5))

def gang_day(seed):
    r = random.Random(seed * 7919)
    length = uniform(r, 16, 24)
    entries = []
    for _ in range(3):
        entries.append(f'at = {uniform(r, 0.5, length - 5)}, kind = "burst", class = "{r.choice(["photo-scan", "photo-scan", "lux-render"])}", x = {uniform(r, 3, 6)}, for_s = 5.0')
    kind = NEWER[seed % len(NEWER)]
    for f in [kind, kind, r.choice(NEWER), r.choice(NEWER)] + r.sample(NEWER, r.randint(0, 2)):
        entries.append(entry(uniform(r, 1, length - 3), f(r)))
    return write_day(f"gang-{seed}", length, entries, closing_fault(r, .3))

def main():
    p = argparse.ArgumentParser()
    p.add_argument("site"); p.add_argument("dir"); p.add_argument("first", type=int); p.add_argument("last", type=int)
    p.add_argument("--gangs", action="store_true")
    a = p.parse_args()
    troubles = own_troubles(a.site)
    for seed in range(a.first, a.last + 1):
        name, content = (f"gang_{seed}", gang_day(seed)) if a.gangs else (f"new_{seed}", usual_day(seed, troubles))
        with open(f"{a.dir}/{name}.toml", "w") as f: f.write(content)

if __name__ == "__main__": main()
