"""Ports of the processes of one run, and of runs that go on beside each other on one machine."""

import unittest

from ryestack.lab.ports import PortRange, free_port

DRAWS = 700  # more than one range has


class PortsOfRuns(unittest.TestCase):
    def test_relay_can_not_start_as_its_own_run_gave_its_port_to_another_relay(self):
        # "Address already in use": a port was drawn at random, released, and drawn again before it was bound.
        self.assertEqual(len({free_port() for _ in range(DRAWS)}), DRAWS)

    def test_ports_of_single_runs_are_none_of_those_that_soak_tests_give_out(self):
        # A relay could not start, "Address already in use": a soak beside it had drawn the same port.
        soak = PortRange()
        self.addCleanup(soak.close)
        taken = {soak.port() for _ in range(50)}
        for _ in range(DRAWS):
            self.assertNotIn(free_port(), taken)

    def test_two_runs_at_a_time_never_share_a_range_of_ports(self):
        one, other = PortRange(), PortRange()
        self.addCleanup(one.close)
        self.addCleanup(other.close)
        ports = [int(each.address().rpartition(":")[2]) for each in (one, other) for _ in range(3)]
        ranges = {(port - PortRange.FIRST) // PortRange.SIZE for port in ports}
        self.assertEqual(len(ranges), 2)

    def test_ports_lie_below_those_of_outgoing_connections(self):
        # A control machine's port was one of those: a connection could have it before the machine's restart.
        last = PortRange.FIRST + PortRange.RANGES * PortRange.SIZE
        self.assertLessEqual(last, 32_768)
        for _ in range(50):
            self.assertTrue(PortRange.FIRST <= free_port() < last)


if __name__ == "__main__":
    unittest.main()
