#!/usr/bin/env python3
"""Writes generated days that crowd a service with lasting and wide jobs, one file a seed.

  issue_53_days.py DIR FIRST LAST    DIR/wait_SEED.toml: 34 to 62 s, one to three bursts of
                                     list-watch and letter-draft, one to three faults that take, move or
                                     add workers, and in nine of ten days a final fault
  seeds from 1000 on                 long bursts of list-watch first, then two to four faults that take
                                     many workers for good, so that lasting steps keep too few approved
                                     workers; then bursts of letter-draft
  seeds from 2000 on                 many lasting jobs, whose leases end in a long darkness, so that all
                                     their steps need advice again at once
  seeds from 3000 on                 the same with stronger bursts, and with 5.6 to 6 s of darkness
  seeds from 4000 on                 workers are cut off, hang or fall silent until after the end, others come
                                     back in another life, while a backlog of letter-draft waits
  seeds from 5000 on                 the same, with a longer backlog and workers that are away until the last
                                     check of the day
  seeds from 6000 on                 the same with few workers away, and with many that join or come back in
                                     another life, about which the waiting steps have not asked
  seeds from 7000 on                 workers crash for good or fall dark, each time followed by 13 s or more
                                     without any other fault; many starts are under way
  seeds from 8000 on                 gangs with accelerators and small tasks crowd the other service, which
                                     loses workers for good
  seeds from 9000 on                 workers fall dark for good in the last 2 s, while many starts are under way
  seeds from 9500 on                 workers crash for good while they are cut off; no other fault for 20 s;
                                     from 9700 on with less load, so that there is room for what they ran

The kind of the final fault follows from the seed modulo 10: 0 none, 1 to 3 power_off_all, 4 to 6 kill_all,
7 to 9 wipe_after_ack, each with how = timed, taken, oldest. Most faults come while the bursts run.
"""
import random, sys
from issue_50_days import CLOSING, entry, uniform, write_day

def workers_fault(r):
    of_service = {"service": "punchlist-desk"} if r.random() < .7 else {}
    return r.choice([
        lambda: dict(kind="srv_crash", share=uniform(r, .1, .4), for_s=uniform(r, 1, 8), how=r.choice(["dark", "gone", "rack", "joined", "domain"]), **of_service),
        lambda: dict(kind="replace_with_reuse", share=uniform(r, .1, .35), how=r.choice(["drain", "dark", "side", ""])),
        lambda: dict(kind="scale_in", share=uniform(r, .05, .3), x=uniform(r, 1.5, 3), for_s=uniform(r, 2, 8), how=r.choice(["", "spot", "reclaim", "reclaim dry", "spot dry"])),
        lambda: dict(kind="node_cut", share=uniform(r, .1, .4), for_s=uniform(r, 2, 9), how="servers" + r.choice(["", " one_way", " reborn", " across", " reborn across", " reset"]), **of_service),
        lambda: dict(kind="srv_cut", share=uniform(r, .1, .4), x=uniform(r, .2, .8), for_s=uniform(r, 2, 9), how=r.choice(["", "fronts", "some", "one_way", "reborn", "fronts reborn", "some reborn"])),
        lambda: dict(kind="srv_grey", share=uniform(r, .05, .25), x=1.0, for_s=uniform(r, 3, 8), how=r.choice(["hang", "mute", "errors", "shed"])),
        lambda: dict(kind="core_cut", count=1, for_s=uniform(r, 2, 8), how=r.choice(["lure", "relieve", "leader one_way"])),
        lambda: dict(kind="node_kill", on="core", count=1, for_s=uniform(r, .5, 4), how=r.choice(["leader race drain", "meet drain", "giver drain"])),
        lambda: dict(kind="platform_compact", x=uniform(r, 1, 6), for_s=1.0, how=r.choice(["drain", "keyed drain", "rewind drain"])),
        lambda: dict(kind="cloud_down", for_s=uniform(r, 2, 8), how=r.choice(["silent", "busy", "reset"])),
        lambda: dict(kind="applied_late", x=uniform(r, .05, .5), for_s=uniform(r, 3, 8), how=r.choice(["orders", "grants", "all"])),
    ])()

def worker_loss(r):
    return r.choice([
        lambda: dict(kind="srv_crash", share=uniform(r, .2, .45), for_s=uniform(r, 2, 12), how=r.choice(["gone", "gone", "rack", "dark"]), service="punchlist-desk"),
        lambda: dict(kind="replace_with_reuse", share=uniform(r, .15, .4), how=r.choice(["drain", "dark", "side", ""]), service="punchlist-desk"),
        lambda: dict(kind="scale_in", share=uniform(r, .15, .4), x=uniform(r, 1.5, 3), for_s=uniform(r, 4, 12), how=r.choice(["", "spot", "reclaim dry", "spot dry"]), service="punchlist-desk"),
        lambda: dict(kind="node_cut", share=uniform(r, .2, .5), for_s=uniform(r, 4, 12), how="servers" + r.choice(["", " reborn", " one_way"]), service="punchlist-desk"),
    ])()

def thinned_day(r, length):
    entries = []
    for _ in range(r.randint(1, 2)):
        entries.append(entry(uniform(r, 1, length * .45), {"kind": "burst", "class": "list-watch", "x": uniform(r, 5, 12), "for_s": uniform(r, 3, 9)}))
    for _ in range(r.randint(2, 4)):
        entries.append(entry(uniform(r, length * .3, length - 2), worker_loss(r)))
    for _ in range(r.randint(0, 2)):
        entries.append(entry(uniform(r, length * .5, length - 3), {"kind": "burst", "class": r.choice(["letter-draft", "letter-draft", "list-watch"]), "x": uniform(r, 2, 6), "for_s": uniform(r, 2, 5)}))
    if r.random() < .5:
        entries.append(entry(uniform(r, length * .4, length - 2), workers_fault(r)))
    return entries

def lapsed_day(r, length):
    entries = []
    for _ in range(r.randint(2, 3)):
        entries.append(entry(uniform(r, length * .2, length - 5), {"kind": "burst", "class": "list-watch", "x": uniform(r, 4, 9), "for_s": uniform(r, 3, 6)}))
    for _ in range(r.randint(0, 2)):
        entries.append(entry(uniform(r, length - 6, length - 2), {"kind": "burst", "class": r.choice(["photo-scan", "letter-draft"]), "x": uniform(r, 2, 4), "for_s": uniform(r, 2, 5)}))
    if r.random() < .4:
        entries.append(entry(uniform(r, length * .4, length * .7), dict(kind="herd_kill", on="core", share=1.0, how="off", for_s=uniform(r, 4, 9))))
    if r.random() < .3:
        entries.append(entry(uniform(r, length * .4, length - 4), worker_loss(r)))
    return entries

def flooded_day(r, length):
    entries = []
    for at in (.5, .65, .8):
        entries.append(entry(uniform(r, length * at, length * at + 2), {"kind": "burst", "class": "list-watch", "x": uniform(r, 6, 12), "for_s": uniform(r, 4, 7)}))
    for _ in range(r.randint(0, 2)):
        entries.append(entry(uniform(r, length - 6, length - 2), {"kind": "burst", "class": r.choice(["photo-scan", "photo-scan", "letter-draft"]), "x": uniform(r, 2, 5), "for_s": uniform(r, 2, 5)}))
    if r.random() < .3:
        entries.append(entry(uniform(r, length * .4, length - 4), worker_loss(r)))
    return entries

def unready_day(r, length):
    of_service = {"service": "punchlist-desk"}
    entries = [
        entry(uniform(r, length * .3, length * .7), {"kind": "burst", "class": "list-watch", "x": uniform(r, 4, 10), "for_s": uniform(r, 3, 6)}),
        entry(uniform(r, length - 12, length - 3), {"kind": "burst", "class": "letter-draft", "x": uniform(r, 3, 7), "for_s": uniform(r, 2, 5)}),
        entry(uniform(r, length - 8, length - 1), r.choice([
            dict(kind="node_cut", share=uniform(r, .25, .5), for_s=uniform(r, 12, 40), how="servers" + r.choice(["", "", " one_way", " reset"]), **of_service),
            dict(kind="srv_grey", share=uniform(r, .25, .5), x=1.0, for_s=uniform(r, 12, 40), how=r.choice(["hang", "mute"]), **of_service),
            dict(kind="srv_cut", share=uniform(r, .25, .5), x=uniform(r, .2, .8), for_s=uniform(r, 12, 40), how=r.choice(["", "fronts", "some"]), **of_service)])),
    ]
    if r.random() < .7:
        entries.append(entry(uniform(r, length - 8, length - 1), dict(kind="srv_crash", share=uniform(r, .2, .45), for_s=uniform(r, 1, 6), how="dark", **of_service)))
    if r.random() < .5:
        entries.append(entry(uniform(r, length - 8, length - 1), dict(kind="scale_out", share=uniform(r, .1, .4), gap_s=uniform(r, .5, 4), **of_service)))
    return entries

def away_day(r, length):
    of_service = {"service": "punchlist-desk"}
    entries = [
        entry(uniform(r, length * .3, length * .6), {"kind": "burst", "class": "list-watch", "x": uniform(r, 5, 10), "for_s": uniform(r, 3, 6)}),
        entry(uniform(r, length - 14, length - 4), {"kind": "burst", "class": "letter-draft", "x": uniform(r, 3, 8), "for_s": uniform(r, 3, 6)}),
        entry(uniform(r, length - 8, length - 1), r.choice([
            dict(kind="node_cut", share=uniform(r, .35, .55), for_s=70.0, how="servers" + r.choice(["", " one_way", " reset"]), **of_service),
            dict(kind="srv_cut", share=uniform(r, .35, .55), x=uniform(r, .5, 1), for_s=70.0, how=r.choice(["", "fronts", "some"]), **of_service)])),
    ]
    if r.random() < .5:
        entries.append(entry(uniform(r, length - 10, length - 2), {"kind": "burst", "class": "list-watch", "x": uniform(r, 5, 10), "for_s": uniform(r, 2, 4)}))
    if r.random() < .5:
        entries.append(entry(uniform(r, length - 8, length - 1), dict(kind="srv_crash", share=uniform(r, .1, .3), for_s=uniform(r, 1, 6), how="dark", **of_service)))
    return entries

def joining_day(r, length):
    of_service = {"service": "punchlist-desk"}
    entries = [
        entry(uniform(r, length * .4, length * .8), {"kind": "burst", "class": "list-watch", "x": uniform(r, 5, 10), "for_s": uniform(r, 3, 6)}),
        entry(uniform(r, length - 12, length - 4), {"kind": "burst", "class": "letter-draft", "x": uniform(r, 5, 9), "for_s": uniform(r, 3, 6)}),
        entry(uniform(r, length - 8, length - 1), dict(kind="node_cut", share=uniform(r, .1, .25), for_s=70.0, how="servers" + r.choice(["", " one_way", " reset"]), **of_service)),
        entry(uniform(r, length - 8, length - 1), dict(kind="srv_crash", share=uniform(r, .25, .45), for_s=uniform(r, 1, 4), how="dark", **of_service)),
    ]
    if r.random() < .6:
        entries.append(entry(uniform(r, length - 6, length - .5), dict(kind="scale_out", share=uniform(r, .2, .5), gap_s=uniform(r, .3, 2), **of_service)))
    return entries

def crashes_day(r, length):
    entries = [entry(uniform(r, 1, 4), {"kind": "burst", "class": "list-watch", "x": uniform(r, 5, 10), "for_s": uniform(r, 3, 6)})]
    at = uniform(r, 9, 12)
    while at < length - 2:
        entries.append(entry(uniform(r, at - 2.5, at - .5), {"kind": "burst", "class": r.choice(["snag-sort", "letter-draft"]), "x": uniform(r, 1.5, 3), "for_s": uniform(r, 2, 3)}))
        entries.append(entry(round(at, 2), r.choice([
            dict(kind="srv_crash", share=uniform(r, .15, .4), for_s=.5, how=r.choice(["gone", "gone", "rack gone"]), service="punchlist-desk"),
            dict(kind="srv_crash", share=uniform(r, .15, .4), for_s=uniform(r, .5, 3), how="dark", service="punchlist-desk"),
            dict(kind="scale_in", share=uniform(r, .1, .25), x=uniform(r, 1, 2), for_s=2.0, how="spot", service="punchlist-desk")])))
        at += uniform(r, 13, 16)
    return entries

def gangs_day(r, length):
    entries = [entry(uniform(r, length * .4, length - 8), dict(kind="srv_crash", share=uniform(r, .15, .45), for_s=.5, how="gone", service="photo-bench"))]
    for kind in ("photo-scan", "stain-check", r.choice(["photo-scan", "stain-check"])):
        entries.append(entry(uniform(r, length - 20, length - 4), {"kind": "burst", "class": kind, "x": uniform(r, 1.3, 3), "for_s": uniform(r, 2, 6)}))
    if r.random() < .3:
        entries.append(entry(uniform(r, length * .4, length - 3), workers_fault(r)))
    return entries

def dark_day(r, length):
    of_service = {"service": "punchlist-desk"} if r.random() < .7 else {}
    entries = [entry(uniform(r, length * .3, length * .7), {"kind": "burst", "class": "list-watch", "x": uniform(r, 4, 9), "for_s": uniform(r, 3, 6)})]
    entries.append(entry(uniform(r, length - 5, length - 3), {"kind": "burst", "class": r.choice(["snag-sort", "snag-sort", "letter-draft"]), "x": uniform(r, 1.2, 2.2), "for_s": 5.0}))
    entries.append(entry(uniform(r, length - 2, length - .1), dict(kind="srv_crash", share=uniform(r, .15, .4), for_s=40.0, how="dark", **of_service)))
    return entries

def cut_crash_day(r, length, light):
    entries = [entry(uniform(r, 1, 5), {"kind": "burst", "class": "list-watch", "x": uniform(r, 6, 10), "for_s": uniform(r, 1, 2) if light else uniform(r, 4, 6)})]
    at = uniform(r, 11, 14)
    while at < length - 5:
        entries.append(entry(uniform(r, at - 2.5, at - 1), {"kind": "burst", "class": "snag-sort", "x": uniform(r, 1.3, 2.2), "for_s": 4.0}))
        entries.append(entry(round(at, 2), dict(kind="node_cut", share=.4, for_s=2.5, how="servers", service="punchlist-desk")))
        entries.append(entry(round(at + 1.2, 2), dict(kind="srv_crash", share=.2 if light else .3, for_s=.5, how="gone", service="punchlist-desk")))
        at += 99 if light else uniform(r, 22, 26)
    return entries

def waiting_day(seed):
    r = random.Random(seed * 104729)
    length = uniform(r, 34, 62)
    entries = cut_crash_day(r, length, seed >= 9700) if seed >= 9500 else [crowded_day, thinned_day, lapsed_day, flooded_day, unready_day, away_day, joining_day, crashes_day, gangs_day, dark_day][seed // 1000](r, length)
    dark = [.5, .5, 4, 5.6, .5, .5, .5, .5, .5, .5][seed // 1000]
    closing = []
    if seed % 10:
        kind, how = divmod(seed % 10 - 1, 3)
        closing = [f'closing = {{ kind = "{CLOSING[kind]}", down_s = {uniform(r, dark, 6)}, how = "{["timed", "taken", "oldest"][how]}" }}']
    return write_day(f"wait-{seed}", length, entries, closing)

def crowded_day(r, length):
    entries, late = [], r.random() < .5
    for _ in range(r.randint(1, 3)):
        lasting = r.random() < .6
        entries.append(entry(uniform(r, length / 2 if late else 1, length - 4), dict(
            kind="burst", **{"class": "list-watch" if lasting else "letter-draft"}, x=uniform(r, 4, 12) if lasting else uniform(r, 2, 7), for_s=uniform(r, 2, 6))))
    for _ in range(r.randint(1, 3)):
        entries.append(entry(uniform(r, length / 2 if late else 1, length - 3), workers_fault(r)))
    if r.random() < .6:
        entries.append(entry(uniform(r, 1, length - 3), dict(kind="scale_out", share=uniform(r, .1, .4), gap_s=uniform(r, .5, 4))))
    return entries

if __name__ == "__main__":
    for seed in range(int(sys.argv[2]), int(sys.argv[3]) + 1):
        with open(f"{sys.argv[1]}/wait_{seed}.toml", "w") as f: f.write(waiting_day(seed))
