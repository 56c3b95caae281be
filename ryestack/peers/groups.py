"""Replica placement by rendezvous hashing: every relay computes the same groups from the same names and
zones, and adding or removing a relay changes few of them."""

import hashlib


def group(owner: str, zones: dict[str, str], replicas: int) -> tuple[str, ...]:
    """The owner and its replicas, the owner first.

    zones: zone by relay name, for all relays. Relays are ranked by a hash of the pair of names, lowest first;
    relays in zones that the group does not cover yet (the owner's zone counts as covered) are preferred.
    """
    ranked = sorted((n for n in zones if n != owner), key=lambda n: (_rank(owner, n), n))
    chosen, covered = [], {zones[owner]}
    while len(chosen) < replicas and (left := [n for n in ranked if n not in chosen]):
        candidates = [n for n in left if zones[n] not in covered] or left
        chosen.append(candidates[0])
        covered.add(zones[candidates[0]])
    return (owner, *chosen)


def _rank(owner: str, name: str) -> bytes:
    return hashlib.blake2b(f"{owner}\0{name}".encode(), digest_size=8).digest()
