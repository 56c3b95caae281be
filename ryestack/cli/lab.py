"""ryestack lab: check, run, sweep, compare, hunt, report, validate, policies."""

import json
from pathlib import Path
from typing import Annotated

import typer
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn

from ..lab import hunt as hunting
from ..lab import scenario as sc
from ..lab import sweep as sweeping
from ..lab.compare import difference, share_of_best
from ..lab.policies import CEILING, FLOOR, POLICIES
from ..lab.runner import bare, play, policy_of, rules_broken
from .output import FOUND, Json, Seed, console, print_json, say, table, unusable

app = typer.Typer(no_args_is_help=True)
File = Annotated[str, typer.Argument(help="A scenario; examples/scenarios/ has some.")]
Policy = Annotated[str, typer.Option(help="By name, or ryestack@REV for the module of a git revision.")]
Cores = Annotated[int, typer.Option(min=0, help="0 for all.")]


def _read(path: str) -> sc.Scenario:
    try:
        return sc.read(path)
    except sc.BadScenario as bad:
        raise unusable(str(bad)) from None


def _known(*names: str) -> None:
    try:
        for name in names:
            policy_of(name)
    except sc.BadScenario as bad:
        raise unusable(str(bad)) from None


def _seeds(text: str) -> list[int]:
    """Of 1-8 or 1,2,5."""
    try:
        found = []
        for part in text.split(","):
            first, dash, last = part.partition("-")
            found += range(int(first), int(last) + 1) if dash else [int(first)]
        if not found or len(found) > 100_000:
            raise ValueError
        return found
    except ValueError:
        raise unusable(f"--seeds {text}: must be as 1-8 or 1,2,5") from None


class _Bar:
    """Progress with the time left, on a terminal; elsewhere a plain line at each tenth."""

    def __init__(self, what: str):
        screen = console(err=True)
        columns = TextColumn(what + " {task.completed}/{task.total}"), BarColumn(), TimeRemainingColumn()
        self.bar = Progress(*columns, console=screen, transient=True, disable=not screen.is_terminal)
        self.task, self.plain, self.said, self.what = (
            self.bar.add_task("", total=None),
            not screen.is_terminal,
            0,
            what,
        )

    def __enter__(self):
        self.bar.__enter__()
        return self

    def __exit__(self, *more):
        return self.bar.__exit__(*more)

    def __call__(self, done: int, of: int) -> None:
        self.bar.update(self.task, completed=done, total=of)
        if self.plain and of and done * 10 // of > self.said:
            self.said = done * 10 // of
            say(f"{self.what} {done}/{of}")


@app.command()
def check(scenario: File, as_json: Json = False) -> None:
    """Tell all faults of a scenario at once; status 1 if there are any."""
    try:
        day, faults = sc.read(scenario), []
    except sc.BadScenario as bad:
        if not Path(scenario).exists():
            raise unusable(str(bad)) from None
        day, faults = None, str(bad).splitlines()
    if as_json:
        print_json({"good": not faults, "faults": faults})
    else:
        many = sum(g.count for g in day.group) if day else 0
        for line in faults or [f"good: {day.name}, {day.fleet.relays} relays, {many} destinations"]:
            console().print(line, markup=False, soft_wrap=True)
    raise typer.Exit(FOUND if faults else 0)


@app.command()
def run(
    scenario: File,
    seed: Seed = 1,
    policy: Policy = "ryestack",
    trace: Annotated[list[str] | None, typer.Option(help="A hand-in's id, as 12.0; its whole life.")] = None,
    beside: Annotated[bool, typer.Option("--beside", help="The floor and the ceiling too.")] = False,
    as_json: Json = False,
) -> None:
    """Play one day; status 1 if a rule is broken. The same seed gives the same bytes."""
    day = _read(scenario)
    _known(policy)
    found = play(day, seed, policy, trace or ())
    result = bare(found.summary)
    if beside:
        floor, ceiling = (play(day, seed, name).summary["G"] for name in (FLOOR, CEILING))
        result |= {"floor": floor, "ceiling": ceiling, "score": share_of_best(result["G"], floor, ceiling)}
    if rules_broken(result) and not trace:  # the lives of those that broke one
        names = [line.split(", ")[1].split(":")[0] for line in result["broken"][:3]]
        found.trace = play(day, seed, policy, names).trace
    if as_json:
        print_json({**result, "trace": found.trace})
    else:
        rows = [[k, f"{v:.4f}" if isinstance(v, float) else v] for k, v in result.items()
                if not isinstance(v, (list, dict))]  # fmt: skip
        rows += [[f"rule {k} broken", v] for k, v in result["rules"].items()]
        table(f"{day.name}, seed {seed}", ["what", "value"], rows)
        for line in [*result["faults"], *result["broken"], *found.trace]:
            console().print(line, markup=False, soft_wrap=True)
    raise typer.Exit(FOUND if rules_broken(result) else 0)


def _values(text: str):
    """KEY=V1,V2,... with values as JSON has them, else texts."""
    key, equals, rest = text.partition("=")
    if not key or not equals or not rest:
        raise unusable(f"--vary {text}: must be KEY=V1,V2,...")
    found = []
    for part in rest.split(","):
        try:
            found.append(json.loads(part))
        except ValueError:
            found.append(part)
    return key, found


@app.command()
def sweep(
    scenario: File,
    vary: Annotated[
        list[str] | None, typer.Option(help="KEY=V1,V2,...; rows by number, as group.0.headroom.")
    ] = None,
    seeds: Annotated[str, typer.Option(help="As 1-8 or 1,2,5.")] = "1-8",
    policy: Annotated[
        list[str] | None, typer.Option(help="By name, or ryestack@REV; may come again.")
    ] = None,
    draw: Annotated[
        int, typer.Option(min=0, help="So many random draws from [least, most], in place of a grid.")
    ] = 0,
    draw_seed: Annotated[int, typer.Option(min=0, help="Of those draws.")] = 1,
    out: Annotated[str | None, typer.Option(help="JSON lines; a file that is there is gone on with.")] = None,
    report: Annotated[str | None, typer.Option(help="An HTML page of it.")] = None,
    figure: Annotated[str, typer.Option(help="What the tables show.")] = "G",
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Days over keys, seeds and policies, on all cores. Ctrl-C keeps what is done; the same call goes on."""
    keys, policies = dict(map(_values, vary or [])), policy or ["ryestack"]
    _known(*policies)
    try:
        given, _ = sc.read_table(scenario)
        points = sweeping.drawn(keys, draw, draw_seed) if draw else sweeping.grid(keys)
        jobs = sweeping.jobs_of(given, points, _seeds(seeds), policies)
    except sc.BadScenario as bad:
        raise unusable(str(bad)) from None
    with _Bar("days") as bar:
        rows = sweeping.run(jobs, out, bar, cores)
    if report:
        from ..lab.report import of_sweep

        Path(report).write_text(of_sweep(rows, figure))
        say(f"{report} written")
    if as_json:
        print_json(rows)
        return
    from ..lab.compare import interval

    cells = []
    for point in points:
        for name in policies:
            mine = [r for r in rows if r["keys"] == point and r["policy"] == name]
            mean, low, high = interval([r[figure] for r in mine])
            broken = sum(rules_broken(r) > 0 for r in mine)
            cells.append([*point.values(), name, f"{mean:.4f}", f"{low:.4f} to {high:.4f}", broken])
    heads = [*keys, "policy", f"mean {figure}", "95%", "days with a rule broken"]
    table(f"{len(rows)} days, seeds {seeds}", heads, cells)


@app.command()
def compare(
    a: Annotated[str, typer.Argument(help="A policy.")],
    b: Annotated[str, typer.Argument(help="Another.")],
    scenario: Annotated[list[str], typer.Argument(help="Scenarios.")],
    seeds: Annotated[str, typer.Option(help="As 1-8 or 1,2,5.")] = "1-16",
    figure: Annotated[str, typer.Option(help="What is compared.")] = "G",
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Two policies on the same days, with a bootstrap interval; says when it can't tell."""
    _known(a, b)
    found, chosen = {}, _seeds(seeds)
    for path in scenario:
        day = _read(path)
        with _Bar(day.name) as bar:
            rows = sweeping.run(
                [(day, {}, seed, name) for name in (a, b) for seed in chosen], None, bar, cores
            )
        if figure not in rows[0]:
            raise unusable(f"--figure {figure}: there is no such figure")
        values = [row[figure] for row in rows]
        found[path] = difference(values[: len(chosen)], values[len(chosen) :])
    if as_json:
        print_json({p: {"mean": d.mean, "low": d.low, "high": d.high, "days": d.days, "told": d.told}
                    for p, d in found.items()})  # fmt: skip
        return
    for path, told in found.items():
        console().print(f"{path}: {told.words(a, b)}", markup=False, soft_wrap=True)


@app.command()
def hunt(
    scenario: File,
    policy: Policy = "ryestack",
    budget: Annotated[int, typer.Option(min=1, help="Days drawn.")] = 64,
    keep: Annotated[int, typer.Option(min=1, help="Of the worst, cut down and saved.")] = 1,
    folder: Annotated[str, typer.Option(help="Where found scenarios go.")] = "found",
    seed: Seed = 1,
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """Days on which a policy does worst or breaks a rule, each cut down to the least that still does it."""
    day = _read(scenario)
    _known(policy)
    cores = cores or -1
    with _Bar("days") as bar:
        found = hunting.search(day, policy, budget, seed, bar, cores)
    worst = []
    for one in found[:keep]:
        say(f"seed {one.seed}: loses {one.lost:.3f}, {one.broken} rules broken; cutting it down")
        worst.append((one, hunting.shrink(one, policy, say, cores)))
    Path(folder).mkdir(parents=True, exist_ok=True)
    rows = []
    for one, least in worst:
        path = str(Path(folder) / f"{day.name}-{one.seed}.toml")
        sc.write(hunting.copy_of(least.day, name=f"{day.name}-{one.seed}"), path)
        kinds = [f.kind for f in least.day.fault]
        first = {"lost": one.lost, "broken": one.broken, "faults": one.summary["faults"]}
        row = {"file": path, "seed": one.seed, "lost": least.lost, "broken": least.broken}
        rows.append({**row, "faults": kinds, "first": first})
    if as_json:
        print_json({"days": len(found), "worst": rows, "mean_lost": sum(f.lost for f in found) / len(found)})
    else:
        cells = [
            [r["file"], r["seed"], f"{r['lost']:.3f}", r["broken"], ", ".join(r["faults"])] for r in rows
        ]
        table(f"the worst of {len(found)} days", ["file", "seed", "lost", "rules broken", "faults"], cells)
    raise typer.Exit(FOUND if any(r["broken"] for r in rows) else 0)


@app.command()
def report(
    scenario: File,
    out: Annotated[str, typer.Argument(help="The HTML page.")],
    seed: Seed = 1,
    policy: Policy = "ryestack",
) -> None:
    """Play one day and write a page of it: plots, tables, heat map; readable without a network."""
    from ..lab.report import of_day

    _known(policy)
    Path(out).write_text(of_day(play(_read(scenario), seed, policy)))
    say(f"{out} written")


@app.command()
def validate(
    count: Annotated[int, typer.Option(min=1000, help="Calls in a run.")] = 40_000,
    runs: Annotated[int, typer.Option(min=2, help="Independent runs.")] = 24,
    seed: Seed = 1,
    cores: Cores = 0,
    as_json: Json = False,
) -> None:
    """The world's queues beside theory; status 1 where theory is outside an interval."""
    from ..lab.validity import check as held

    rows = held(count, runs, seed, cores or -1)
    if as_json:
        print_json([{"model": r.model, "load": r.load, "what": r.what, "theory": r.theory, "mean": r.mean,
                     "low": r.low, "high": r.high, "good": r.good} for r in rows])  # fmt: skip
    else:
        cells = [[r.model, r.load, r.what, f"{r.theory:.4f}", f"{r.mean:.4f}", f"{r.low:.4f} to {r.high:.4f}",
                  "yes" if r.good else "NO"] for r in rows]  # fmt: skip
        table("", ["model", "load", "what", "theory", "measured", "99%", "within"], cells)
    raise typer.Exit(0 if all(r.good for r in rows) else FOUND)


@app.command()
def policies() -> None:
    """The policies there are to compare with."""
    rows = [
        [name, (kind.__doc__ or "the decision module").strip().splitlines()[0]]
        for name, kind in POLICIES.items()
    ]
    table("", ["policy", "what it does"], rows)


@app.command()
def study(
    name: Annotated[str, typer.Argument(help="One of those that `--list` tells.")] = "",
    out: Annotated[str | None, typer.Option(help="A folder for its plots.")] = None,
    seeds: Annotated[int, typer.Option(min=0, help="Seeds of each point; 0: as the study says.")] = 0,
    rows: Annotated[str | None, typer.Option(help="JSON lines of its days; gone on with if there.")] = None,
    cores: Cores = 0,
    names: Annotated[bool, typer.Option("--list", help="The studies and their questions.")] = False,
    as_json: Json = False,
) -> None:
    """Play a study: its question, a sweep, tables with intervals, plots."""
    from ..lab import studies
    from ..lab.compare import interval

    if names or not name:
        table("", ["study", "question"], [[n, s.question] for n, s in studies.STUDIES.items()])
        return
    if name not in studies.STUDIES:
        raise unusable(f"study {name}: there is none of that name; known are {', '.join(studies.STUDIES)}")
    one = studies.STUDIES[name]
    points = sweeping.grid(one.vary)
    jobs = sweeping.jobs_of(one.table, points, list(range(1, (seeds or one.seeds) + 1)), one.policies)
    with _Bar(name) as bar:
        found = sweeping.run(jobs, rows, bar, cores)
    key, *others = one.vary
    groups: dict[str, list[dict]] = {}
    for row in found:
        more = ", ".join(f"{k.split('.')[-1]} {row['keys'][k]}" for k in others if len(one.vary[k]) > 1)
        groups.setdefault(" ".join(filter(None, [row["policy"], more])), []).append(row)
    say(one.question)
    results = {}
    for figure in one.figures:
        cells, curves = [], {}
        for group, mine in groups.items():
            curves[group] = [
                interval([r[figure] for r in mine if r["keys"][key] == x]) for x in one.vary[key]
            ]
        for i, x in enumerate(one.vary[key]):
            cells.append([x, *(f"{c[i][0]:.3f} ({c[i][1]:.3f} to {c[i][2]:.3f})" for c in curves.values())])
        results[figure] = {g: dict(zip(map(str, one.vary[key]), c, strict=True)) for g, c in curves.items()}
        if not as_json:
            table(figure, [key, *curves], cells)
        if out:
            from ..lab import plots

            Path(out).mkdir(parents=True, exist_ok=True)
            title = f"{name}: {figure}, mean and 95%"
            made = plots.curves(one.vary[key], curves, title, key, figure, one.log)
            (Path(out) / f"{name}-{figure}.png").write_bytes(made)
    broken = {g: sum(rules_broken(r) > 0 for r in mine) for g, mine in groups.items()}
    if as_json:
        print_json({"question": one.question, "figures": results, "days_with_a_rule_broken": broken})
    else:
        table(
            "days with a rule broken",
            ["policy", "days", "of"],
            [[g, n, len(groups[g])] for g, n in broken.items()],
        )
