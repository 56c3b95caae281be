"""The slopes of docs/CAPACITY.md: how they are fitted, and that the page agrees with its inputs."""

import json
import math
import re
from pathlib import Path

import numpy as np
import pytest

from ryestack.lab.capacity import counts_of, figures, ranking
from ryestack.lab.capacity_model import BadInputs, read
from ryestack.lab.capacity_page import page
from ryestack.lab.slopes import TooFewPoints, decades, fit


def test_a_power_law_is_found_with_no_spread():
    found = fit([(n, 3.0 * n**1.5) for n in (10, 100, 1000, 5000)])
    assert math.isclose(found.exponent, 1.5)
    assert found.standard_error < 1e-9 and math.isclose(found.lowest, found.highest)


def test_a_point_off_the_line_shows_in_the_spread():
    found = fit([(10, 10.0), (100, 100.0), (1000, 1000.0), (10_000, 30_000.0)])
    assert 1.0 < found.exponent < 1.2 and found.standard_error > 0.04
    assert math.isclose(found.lowest, 1.0) and math.isclose(found.highest, 1.0 + math.log10(3.0))


def test_values_without_a_logarithm_and_equal_sizes_are_refused():
    for points in ([(10, 1.0), (100, 0.0), (1000, 1.0)], [(10, 1.0), (100, 1.0)], [(10, 1.0)] * 4):
        with pytest.raises(TooFewPoints):
            fit(points)


def test_decades():
    assert math.isclose(decades([(1000, 1.0), (10, 1.0), (100, 1.0)]), 2.0)


# -- the page and its inputs -----------------------------------------------------------------------------

DOCS = Path(__file__).resolve().parent.parent / "docs"
PREFIXES = {"G": 1e9, "M": 1e6, "k": 1e3, "m": 1e-3, "u": 1e-6, "n": 1e-9}
RELATIVE_TOLERANCE = 0.011  # three digits are shown of each figure


@pytest.fixture(scope="module")
def text() -> str:
    return (DOCS / "capacity.toml").read_text()


@pytest.fixture(scope="module")
def shown() -> str:
    return (DOCS / "CAPACITY.md").read_text()


def amount(words: str) -> float:
    """Parses a quantity of the page, such as `14.2 ms`, `1.1% of a core`, `860,000`, into base units."""
    found = re.fullmatch(r"([\d.,]+)(?: ?(.*))", words.strip())
    number, unit = float(found[1].replace(",", "")), found[2]
    if unit.startswith("%"):
        return number / 100.0
    scaled = re.fullmatch(r"([GMkmun])(s|B|B/s)", unit)
    return number * (PREFIXES[scaled[1]] if scaled else 1.0)


def sums(page: str) -> list[tuple[float, float]]:
    """(product of the shown factors, shown result) of each product on the page."""
    found = []
    for left, result in re.findall(r"\| ([^|=*]*) = \*\*([^*|]+)\*\* \|", page):
        base, _, product = left.rpartition(": ")[2].rpartition(" + ")
        total = math.prod(amount(factor) for factor in product.split(" x "))
        found.append((total + (amount(base) if base else 0.0), amount(result)))
    return found


def wrong_sums(page: str) -> list[tuple[float, float]]:
    return [(got, said) for got, said in sums(page) if abs(got - said) > RELATIVE_TOLERANCE * abs(said)]


def wrong_verdicts(page: str) -> list[str]:
    """Rows whose verdict or limit contradicts their figure."""
    wrong = []
    for line in page.splitlines():
        row = re.search(r"\*\*([^*]+)\*\* \| ([^|]+) \| (fits|over) \(?([\d.,]+)(x|%)", line)
        if row:
            over = amount(row[1]) / amount(row[2])
            said = float(row[4].replace(",", "")) / (1.0 if row[5] == "x" else 100.0)
            if abs(over - said) > RELATIVE_TOLERANCE * said or (over > 1.0) != (row[3] == "over"):
                wrong.append(line)
    return wrong


def test_the_page_is_generated_from_its_inputs(text, shown):
    assert page(text) == shown, "out of date: run make pages"


def test_each_figure_can_be_recomputed_from_the_page(shown):
    assert len(sums(shown)) > 30
    assert not wrong_sums(shown)
    assert not wrong_verdicts(shown)


def test_a_tampered_figure_is_found(text, shown):
    """Changes each product and verdict on the page, and each slope's largest point in the inputs."""
    for found in re.finditer(r"= \*\*([\d.,]+)", shown):
        more = f"{float(found[1].replace(',', '')) * 1.2:.6g}"
        assert wrong_sums(shown[: found.start(1)] + more + shown[found.end(1) :]), found[0]
    for found in re.finditer(r"over ([\d.,]+)x", shown):
        less = f"{float(found[1].replace(',', '')) * 0.9:.6g}"
        assert wrong_verdicts(shown[: found.start(1)] + less + shown[found.end(1) :]), found[0]
    for found in re.finditer(r", ([\d.e+-]+)\]\]", text):
        more = f"{float(found[1]) * 1.2 or 1.0:.6g}"
        assert page(text[: found.start(1)] + more + text[found.end(1) :]) != shown, found[0]


def test_each_measured_slope_has_its_points_and_its_provenance(text):
    for slope in read(text).slope:
        if slope.known in ("on paper", "not run"):
            assert not slope.points and not slope.command, slope.name
            continue
        assert slope.command and re.fullmatch(r"[0-9a-f]{7,}", slope.commit) and slope.fixed, slope.name
        assert len(slope.points) >= 4, slope.name
        sizes, values = np.log10(slope.points).T
        assert np.ptp(sizes) >= 1.5, slope.name
        assert abs(np.polyfit(sizes, values, 1)[0] - slope.exponent) < 0.002, slope.name
        order = np.argsort(sizes)
        between = np.diff(values[order]) / np.diff(sizes[order])
        stated = [slope.lowest, slope.highest]
        assert np.allclose([between.min(), between.max()], stated, atol=0.03), slope.name
        assert slope.standard_error is not None


def test_a_slope_counted_as_proportional_or_constant_is_one(text):
    """With another exponent, a line or a product would claim more than the points show."""
    for slope in (s for s in read(text).slope if s.points):
        low, high = {"proportional": (0.75, 1.25), "constant": (-0.2, 0.2), "line": (0.0, 1.25)}[slope.law]
        assert low <= slope.exponent <= high, slope.name


def test_what_the_issue_claims_is_met(text):
    counts = counts_of(read(text))
    claimed = [derived for derived in read(text).derived if derived.claimed is not None]
    assert len(claimed) >= 9
    for derived in claimed:
        assert abs(counts[derived.name] - derived.claimed) <= 0.01 * derived.claimed, derived.name


def test_paper_and_simulation_never_pass_as_measured(text):
    inputs = read(text)
    weaker = {slope.name: slope.known for slope in inputs.slope if slope.known != "measured"}
    for figure in figures(inputs):
        weak = [weaker[name] for name in figure.row.slopes if name in weaker]
        assert (figure.known == "measured") == (not weak), figure.row.what


def test_the_ranking_is_by_the_part_of_the_size(text):
    inputs = read(text)
    computed = figures(inputs)
    ranks = ranking(inputs, computed)
    assert [rank.part for rank in ranks] == sorted(rank.part for rank in ranks)
    assert ranks[0].missing.name == "scope"
    for rank in ranks:
        rows = [f for f in computed if f.row.needs == rank.missing.name and f.over and f.over > 1.0]
        assert all(f.breaks_at is None or f.breaks_at / f.asked >= rank.part for f in rows)


@pytest.mark.parametrize("change", [('slopes = ["list.memory"]', 'slopes = ["none"]'),
                                    ('law = "line"', 'law = "log"'), ("value = 12_000\n", "")])  # fmt: skip
def test_inputs_that_do_not_fit_are_refused(text, change):
    assert change[0] in text
    with pytest.raises(BadInputs):
        page(text.replace(*change, 1))


def test_the_profile_adds_up(text):
    shares = [share.share for share in read(text).profile.packages]
    assert 0.97 <= sum(shares) <= 1.005 and shares[:-1] == sorted(shares[:-1], reverse=True)


def test_the_scale_runs_figures_are_those_of_its_runs(text):
    runs = {run["relays"]: run for run in json.loads((DOCS / "studies" / "scale.json").read_text())}

    def at(found, path):
        for key in path.split("."):
            stories = {one["story"]: one for one in found} if isinstance(found, list) else found
            found = stories[key]
        return found

    for seen in read(text).observed:
        assert [relays for relays, _ in seen.values] == sorted(runs), seen.what
        for relays, value in seen.values:
            assert math.isclose(value, at(runs[relays], seen.path), rel_tol=1e-3), seen.what
