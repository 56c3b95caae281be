"""A scenario: fleet, destinations, traffic, network, directory, faults. TOML, checked like operator files."""

from .checks import faults_of
from .files import BadScenario, of, read, read_table, table_of, with_key, write
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
    "faults_of",
    "of",
    "read",
    "read_table",
    "table_of",
    "with_key",
    "write",
]
