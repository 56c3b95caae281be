"""Scenarios of the emulator: fleet, destinations, traffic, network, directory and faults.

A scenario is a TOML file that is validated like operator files.
"""

from .checks import problems_of
from .files import BadScenario, from_table, read, read_table, table_of, with_key, write
from .model import FAULTS, FLEET_FAULTS, UNIT_FAULTS, Group, Rules, Scenario, TimelineFault, Topic

__all__ = [
    "FAULTS",
    "FLEET_FAULTS",
    "UNIT_FAULTS",
    "BadScenario",
    "TimelineFault",
    "Group",
    "Rules",
    "Scenario",
    "Topic",
    "problems_of",
    "from_table",
    "read",
    "read_table",
    "table_of",
    "with_key",
    "write",
]
