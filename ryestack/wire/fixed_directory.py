"""The directory of a relay without a registry."""

import asyncio

from .. import interface
from .registry_directory import RegistryDirectory


class FixedDirectory(RegistryDirectory):
    """A Directory with the list of the configuration, which never changes: nothing is requested."""

    def initial_list(
        self, handed: dict | None = None, route_states: dict[str, str] | None = None
    ) -> interface.ListUpdate:
        return self.initial_update

    async def fetch_initial(self) -> list[interface.ListUpdate]:
        return []

    def refresh(self) -> None:
        pass

    def take_change(self, fields: dict) -> list[interface.ListUpdate]:
        return []

    def export(self) -> dict | None:
        return None

    async def run(self, publish) -> None:
        await asyncio.Event().wait()
