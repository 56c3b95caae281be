"""Builds the processes of a scale run: folders, operator files, addresses and the links between them."""

from pathlib import Path

import tomli_w

from ..operator.schema import ControlMachine
from .hollow_messages import HollowPlace, Specification
from .ports import free_port
from .scale_changes import destination_value
from .scale_links import LinkTable
from .scale_load import TOPICS, StandIns
from .scale_plan import DESTINATIONS_PER_RELAY, Place, ScalePlan
from .scale_processes import HostProcess, MachineProcess, ScaleRelay
from .trial import RelayProcess, platform_config

CLUSTER = "scale"
REPLICAS = 3
REAL, SAMPLE = "real", "sample"  # link groups whose traffic is measured


def free_addresses(count: int) -> list[str]:
    """Returns distinct loopback addresses that are free now."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port())
    return [f"127.0.0.1:{port}" for port in ports]


class Fleet:
    """All processes of a plan, created but not started."""

    def __init__(self, folder: Path, plan: ScalePlan, stand_ins: StandIns, hold: float, seed: int):
        self.folder, self.plan, self.stand_ins, self.hold, self.seed = folder, plan, stand_ins, hold, seed
        names = [machine.place.name for machine in plan.machines]
        listeners = [place.name for place in plan.real] + plan.plain
        free = free_addresses(len(names) + len(listeners))
        self.addresses = dict(zip(names, free, strict=False))
        self.listens = dict(zip(listeners, free[len(names) :], strict=True))
        regions = [machine.place.region for machine in plan.machines]
        self.faulty = names[min(2, len(names) - 1)]
        self.lost_zone = plan.machines[1].place.zone
        self.link_table = LinkTable(
            plan.machines, self.addresses, self.faulty, (regions[0], regions[1]), seed
        )
        self.machines: dict[str, MachineProcess] = {}
        self.relays: dict[str, RelayProcess] = {}
        self.plain: dict[str, RelayProcess] = {}
        self.hosts: dict[str, HostProcess] = {}

    async def make(self) -> None:
        for machine in self.plan.machines:
            self.machines[machine.place.name] = await self._machine(machine.place)
        for place in self.plan.real:
            self.relays[place.name] = await self._relay(place)
        for name in self.plan.plain:
            self.plain[name] = self._plain_relay(name)
        sample = self._sample()
        for number, places in enumerate(self.plan.hosts):
            name = f"host{number}"
            self.hosts[name] = HostProcess(await self._host(name, places, sample), self.folder / name)

    def _sample(self) -> set[str]:
        """As many hollow relays as there are real ones, at similar locations."""
        hollow = [place.name for host in self.plan.hosts for place in host]
        return set(sorted(hollow, key=lambda name: int(name[1:]))[: len(self.plan.real)])

    async def _machine(self, place: Place) -> MachineProcess:
        table = await self.link_table.address_table(place.name, place)
        operator = self._operator_file(place, "machine", table)
        config = self._config(place.name, self.addresses[place.name])
        return MachineProcess(self.addresses[place.name], config, operator.parent, operator)

    async def _relay(self, place: Place) -> RelayProcess:
        operator = self._operator_file(
            place, "relay", await self.link_table.address_table(REAL, place, measured=True)
        )
        environment = {"RYESTACK_OPERATOR": str(operator)}
        return ScaleRelay(self._config(place.name), operator.parent, environment=environment)

    def _plain_relay(self, name: str) -> RelayProcess:
        """A relay without control: as many destinations as a scope has, in a list that is never polled."""
        folder = self._folder(name)
        operator = folder / "operator.toml"
        operator.write_text(tomli_w.dumps({"format": 1, "directory": {"source": "fixed"}}))
        numbers = range(DESTINATIONS_PER_RELAY * REPLICAS)
        rows = [
            {**endpoint, "group": number, "since_ms": 0}
            for number in numbers
            for endpoint in destination_value(number, self.stand_ins.partner_addresses)["endpoints"]
        ]
        known = {"index": 1, "snapshot": True, "endpoints": rows}
        config = {**self._config(name), "known": known}
        return ScaleRelay(config, folder, environment={"RYESTACK_OPERATOR": str(operator)})

    async def _host(self, name: str, places: list[Place], sample: set[str]) -> Specification:
        tables, relays = {}, []
        for place in places:
            measured = place.name in sample
            group = f"{SAMPLE if measured else 'region'}@{place.region}"
            if group not in tables:
                tables[group] = await self.link_table.address_table(group.partition("@")[0], place, measured)
            relays.append(HollowPlace(place.name, place.region, place.zone, group))
        return Specification(
            cluster=CLUSTER, machines=self.control_machines(self.addresses), tables=tables, relays=relays,
            hold=self.hold, replicas=REPLICAS, seed=self.seed, book=str(self._folder(name) / "book"),
        )  # fmt: skip

    def control_machines(self, table: dict[str, str]) -> list[ControlMachine]:
        """All control machines at the addresses in a table, which one member of the fleet uses."""
        return [
            ControlMachine(
                name=machine.place.name, address=table[machine.place.name], region=machine.place.region,
                voter=machine.voter,
            )
            for machine in self.plan.machines
        ]  # fmt: skip

    def _folder(self, name: str) -> Path:
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        return folder

    def _config(self, name: str, listen: str | None = None) -> dict:
        platform = self.stand_ins.platform
        address = listen or self.listens[name]
        config = platform_config(address, platform.address, platform.listing(), TOPICS, self.seed)
        return {**config, "name": name}

    def _operator_file(self, place: Place, role: str, table: dict[str, str]) -> Path:
        machines = [
            {"name": m.name, "address": m.address, "region": m.region, "voter": m.voter}
            for m in self.control_machines(table)
        ]
        control = {
            "cluster": CLUSTER, "role": role, "name": place.name, "region": place.region, "zone": place.zone,
            "hold": self.hold, "replicas": REPLICAS, "machines": machines,
        }  # fmt: skip
        path = self._folder(place.name) / "operator.toml"
        path.write_text(tomli_w.dumps({"format": 1, "log": {"repeat": 0.0}, "control": control}))
        return path
