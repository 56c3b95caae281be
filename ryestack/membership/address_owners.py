"""Which listed endpoint has which address, and whose address another destination's endpoint has taken. Pure.

An address identifies nobody: a new process may come up at the address of one that has gone, before the list
tells that the former endpoint has. A call to the former one would reach the other destination's process.
"""

from typing import NamedTuple


class Target(NamedTuple):
    """The address of an endpoint and the destination that it belongs to."""

    address: str
    destination: int


class AddressOwners:
    """The endpoints that are listed, by address. Destinations may share an address."""

    def __init__(self):
        self._names: dict[str, set[str]] = {}
        self._targets: dict[str, Target] = {}

    def add(self, name: str, target: Target) -> None:
        """The endpoint is listed at that address now."""
        self.remove(name)
        self._names.setdefault(target.address, set()).add(name)
        self._targets[name] = target

    def remove(self, name: str) -> None:
        """The endpoint is not listed any more."""
        target = self._targets.pop(name, None)
        if target is None:
            return
        names = self._names[target.address]
        names.discard(name)
        if not names:
            del self._names[target.address]

    def displaced_by(self, name: str, target: Target) -> set[str]:
        """The endpoints of other destinations whose address this one takes; none if it had it before."""
        if self._targets.get(name) == target:
            return set()
        others = self._names.get(target.address, set())
        return {other for other in others if self._targets[other].destination != target.destination}

    def clear(self) -> None:
        """Forget all."""
        self._names.clear()
        self._targets.clear()
