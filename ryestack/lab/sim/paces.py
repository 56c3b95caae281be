"""Service time distributions: draws with mean 1, to be multiplied by a mean in seconds."""

import numpy as np

SHAPES = ("fixed", "exponential", "lognormal", "heavy", "empirical")


def draw_normalized(
    shape: str, cv: float, values: list[float], rng: np.random.Generator, count: int
) -> np.ndarray:
    """`count` draws with mean 1; raises ValueError for an unknown shape.

    cv: standard deviation over mean, for lognormal and heavy (a Pareto distribution; cv above 0); values:
    positive values to draw from, for empirical.
    """
    if shape == "fixed" or (cv == 0.0 and shape in ("lognormal", "heavy")):
        return np.ones(count)
    if shape == "exponential":
        return rng.exponential(1.0, count)
    if shape == "lognormal":
        sigma = np.sqrt(np.log1p(cv**2))
        return rng.lognormal(-(sigma**2) / 2.0, sigma, count)
    if shape == "heavy":
        alpha = 1.0 + np.sqrt(1.0 + 1.0 / cv**2)  # Pareto with minimum 1: cv² = 1 / (alpha (alpha - 2))
        return (rng.pareto(alpha, count) + 1.0) * (alpha - 1.0) / alpha
    if shape == "empirical":
        drawn = np.asarray(values, float)
        return rng.choice(drawn, count) / drawn.mean()
    raise ValueError(f"unknown shape {shape!r}, must be one of {', '.join(SHAPES)}")
