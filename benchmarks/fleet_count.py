"""Counts over a whole fleet, from relays' logs at level DEBUG: by destination and span of seconds.

    python benchmarks/fleet_count.py LOGS [--span 3] [--destination 5]

The relays are started with RYESTACK_LOG_LEVEL=DEBUG and RYESTACK_LOG_REPEAT=0. What is harmless in one relay
shows here as a sum: calls against the told limit, refusals, connections that never came, notifications given
up, lists that stopped. Times are the logs' own, from the first line of the folder. Not told by the logs: what
the partners' machines saw, prices, the relay's own stalls, list calls that went well without a change.
"""

import argparse
import re
from collections import Counter, defaultdict
from datetime import datetime
from pathlib import Path

LINE = re.compile(r"(\d{4}-\d\d-\d\dT\S+)Z \w+\s+(\S+)\[\d+\] (\S+) ?(.*)")
FACT = re.compile(r'(\w+)=("[^"]*"|\S+)')
COLUMNS = ("taken", "calls", "delivered", "full", "no connection", "other", "given up")


def rows(folder: Path):
    """(time, relay, event, facts) of all logs, in order of time."""
    found = []
    for path in sorted(folder.glob("*.log")):
        for line in path.open(errors="replace"):
            if told := LINE.search(line):
                at = datetime.fromisoformat(told[1]).timestamp()
                facts = {name: value.strip('"') for name, value in FACT.findall(told[4])}
                found.append((at, told[2], told[3], facts))
    return sorted(found, key=lambda row: row[0])


def count(found: list, span: float):
    """Counters, limits told by route and shares left by (destination, span); blocked lists by span."""
    counts, limits, left, blocked = defaultdict(Counter), defaultdict(dict), defaultdict(list), Counter()
    of_route, of_ntf, calls = {}, {}, set()
    start = found[0][0] if found else 0.0
    for at, relay, event, facts in found:
        when = int((at - start) // span)
        if event == "ntf.taken":
            of_ntf[facts["id"]] = facts["destination"]
            counts[facts["destination"], when]["taken"] += 1
        elif event == "ntf.ended":
            counts[of_ntf.get(facts["id"], "?"), when]["given up"] += 1
        elif event == "push.began":
            of_route[facts["route"]] = facts["destination"]
            if (call := (relay, facts["route"], round(at, 2))) not in calls:  # a turn's pushes are one call
                calls.add(call)
                counts[facts["destination"], when]["calls"] += 1
        elif event == "push.ended":
            place = of_route.get(facts["route"], "?"), when
            result = facts["result"] if facts["result"] in COLUMNS else "other"
            counts[place][result] += 1
            if float(facts["limit"]):
                limits[place][facts["route"]] = float(facts["limit"])
                left[place].append(float(facts["left"]))
        elif event == "list.blocked":
            blocked[when] += 1
    return counts, limits, left, blocked


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", type=Path)
    parser.add_argument("--span", type=float, default=3.0, help="seconds in a row of the table")
    parser.add_argument("--destination", help="only this one")
    chosen = parser.parse_args()
    counts, limits, left, blocked = count(rows(chosen.logs), chosen.span)
    if not counts:
        parser.error(f"{chosen.logs} holds no line of level DEBUG")
    for name in sorted({d for d, _ in counts}, key=lambda d: (len(d), d)):
        if chosen.destination in (None, name):
            print(f"destination {name}: a second, {', '.join(COLUMNS)}; limits told; left of them")
            for place in sorted(p for p in counts if p[0] == name):
                told = " ".join(f"{counts[place][c] / chosen.span:6.1f}" for c in COLUMNS)
                mean = sum(left[place]) / len(left[place]) if left[place] else 1.0
                rates = " ".join(f"{limit:.0f}" for _, limit in sorted(limits[place].items()))
                print(f"  {place[1] * chosen.span:5.0f} s {told}   {rates or '-'}   {mean:.2f}")
    print(
        "relays whose list stopped:", dict(sorted((w * chosen.span, n) for w, n in blocked.items())) or "none"
    )


if __name__ == "__main__":
    main()
