"""Counts events over a whole fleet, from relays' DEBUG logs, by destination and time span.

    python benchmarks/fleet_count.py LOGS [--span 3] [--destination 5]

The relays are started with RYESTACK_LOG_LEVEL=DEBUG and RYESTACK_LOG_REPEAT=0. What is harmless in one relay
is visible here as a sum: calls against the reported limit, refusals, failed connections, notifications given
up, blocked lists. Times are those of the logs, from the first line of the folder. Not in the logs: what the
partners' machines saw, prices, stalls of the relay itself, successful list calls without a change.
"""

import argparse
import re
from collections import Counter, defaultdict
from datetime import datetime
from pathlib import Path

LINE = re.compile(r"(\d{4}-\d\d-\d\dT\S+)Z \w+\s+(\S+)\[\d+\] (\S+) ?(.*)")
FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
COLUMNS = ("taken", "calls", "delivered", "full", "no connection", "other", "given up")


def rows(folder: Path):
    """(time, relay, event, fields) of all logs, in order of time."""
    found = []
    for path in sorted(folder.glob("*.log")):
        for line in path.open(errors="replace"):
            if match := LINE.search(line):
                timestamp = datetime.fromisoformat(match[1]).timestamp()
                fields = {name: value.strip('"') for name, value in FIELD.findall(match[4])}
                found.append((timestamp, match[2], match[3], fields))
    return sorted(found, key=lambda row: row[0])


def count(found: list, span: float):
    """Counters, limits by route and remaining shares by (destination, span); blocked lists by span."""
    counts, limits, left, blocked = defaultdict(Counter), defaultdict(dict), defaultdict(list), Counter()
    destination_of_route, destination_of_notification, calls = {}, {}, set()
    start = found[0][0] if found else 0.0
    for timestamp, relay, event, fields in found:
        span_number = int((timestamp - start) // span)
        if event == "ntf.taken":
            destination_of_notification[fields["id"]] = fields["destination"]
            counts[fields["destination"], span_number]["taken"] += 1
        elif event == "ntf.ended":
            counts[destination_of_notification.get(fields["id"], "?"), span_number]["given up"] += 1
        elif event == "push.began":
            destination_of_route[fields["route"]] = fields["destination"]
            # Pushes that are sent together are one call.
            if (call := (relay, fields["route"], round(timestamp, 2))) not in calls:
                calls.add(call)
                counts[fields["destination"], span_number]["calls"] += 1
        elif event == "push.ended":
            place = destination_of_route.get(fields["route"], "?"), span_number
            result = fields["result"] if fields["result"] in COLUMNS else "other"
            counts[place][result] += 1
            if float(fields["limit"]):
                limits[place][fields["route"]] = float(fields["limit"])
                left[place].append(float(fields["left"]))
        elif event == "list.blocked":
            blocked[span_number] += 1
    return counts, limits, left, blocked


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", type=Path)
    parser.add_argument("--span", type=float, default=3.0, help="seconds in a row of the table")
    parser.add_argument("--destination", help="only this destination")
    chosen = parser.parse_args()
    counts, limits, left, blocked = count(rows(chosen.logs), chosen.span)
    if not counts:
        parser.error(f"{chosen.logs} holds no line of level DEBUG")
    for name in sorted({d for d, _ in counts}, key=lambda d: (len(d), d)):
        if chosen.destination in (None, name):
            print(f"destination {name}: a second, {', '.join(COLUMNS)}; limits reported; left of them")
            for place in sorted(p for p in counts if p[0] == name):
                rates_text = " ".join(f"{counts[place][c] / chosen.span:6.1f}" for c in COLUMNS)
                mean = sum(left[place]) / len(left[place]) if left[place] else 1.0
                rates = " ".join(f"{limit:.0f}" for _, limit in sorted(limits[place].items()))
                print(f"  {place[1] * chosen.span:5.0f} s {rates_text}   {rates or '-'}   {mean:.2f}")
    print(
        "relays whose list was blocked:",
        dict(sorted((w * chosen.span, n) for w, n in blocked.items())) or "none",
    )


if __name__ == "__main__":
    main()
