"""Who guards whom: the same at every relay from the same names and zones; a change moves little of it."""

import hashlib


def group(owner: str, zones: dict[str, str], replicas: int) -> tuple[str, ...]:
    """The owner and its replicas, the owner first.

    zones: every relay's name to its zone. Each pair of names has a hash; the lowest are taken, at first one
    from each zone that has none yet, the owner's own counted as having one.
    """
    order = sorted((n for n in zones if n != owner), key=lambda n: (_mark(owner, n), n))
    chosen, covered = [], {zones[owner]}
    while len(chosen) < replicas and (left := [n for n in order if n not in chosen]):
        fresh = [n for n in left if zones[n] not in covered] or left
        chosen.append(fresh[0])
        covered.add(zones[fresh[0]])
    return (owner, *chosen)


def _mark(owner: str, name: str) -> bytes:
    return hashlib.blake2b(f"{owner}\0{name}".encode(), digest_size=8).digest()
