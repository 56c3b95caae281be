"""How long work takes: unit draws of a shape, to be multiplied by a mean in seconds."""

import numpy as np

SHAPES = ("fixed", "exponential", "lognormal", "heavy", "empirical")


def unit(shape: str, cv: float, values: list[float], gen: np.random.Generator, count: int) -> np.ndarray:
    """count draws of mean 1.

    cv: standard deviation over mean, for lognormal and heavy (a Pareto with that cv, above 0); values:
    those to draw from, for empirical, any positive ones.
    """
    if shape == "fixed" or (cv == 0.0 and shape in ("lognormal", "heavy")):
        return np.ones(count)
    if shape == "exponential":
        return gen.exponential(1.0, count)
    if shape == "lognormal":
        sigma = np.sqrt(np.log1p(cv**2))
        return gen.lognormal(-(sigma**2) / 2.0, sigma, count)
    if shape == "heavy":
        alpha = 1.0 + np.sqrt(1.0 + 1.0 / cv**2)  # of a Pareto from 1 on: cv² = 1 / (alpha (alpha - 2))
        return (gen.pareto(alpha, count) + 1.0) * (alpha - 1.0) / alpha
    if shape == "empirical":
        drawn = np.asarray(values, float)
        return gen.choice(drawn, count) / drawn.mean()
    raise ValueError(f"shape {shape!r}, must be one of {', '.join(SHAPES)}")
