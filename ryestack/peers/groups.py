"""Who guards whom: the same at every relay from the same names and zones; a change moves little of it."""

import hashlib


def group(keeper: str, zones: dict[str, str], guards: int) -> tuple[str, ...]:
    """The keeper and its guards, the keeper first.

    zones: every relay's name to its zone. Each pair of names has a hash; the lowest are taken, at first one
    from each zone that has none yet, the keeper's own counted as having one.
    """
    order = sorted((n for n in zones if n != keeper), key=lambda n: (_mark(keeper, n), n))
    chosen, covered = [], {zones[keeper]}
    while len(chosen) < guards and (left := [n for n in order if n not in chosen]):
        fresh = [n for n in left if zones[n] not in covered] or left
        chosen.append(fresh[0])
        covered.add(zones[fresh[0]])
    return (keeper, *chosen)


def _mark(keeper: str, name: str) -> bytes:
    return hashlib.blake2b(f"{keeper}\0{name}".encode(), digest_size=8).digest()
