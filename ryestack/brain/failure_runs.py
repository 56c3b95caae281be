"""How often calls fail or are refused several times in a row though their destination is not away."""


class FailureRuns:
    """Learns how often runs of failed calls begin at a destination, and how long they get.

    A run ends with a delivery. Until there are observations, few calls are taken to fail: a run is then soon
    one that chance does not explain. At a destination that refuses at random, or at a limit, the first runs
    raise the estimates.
    """

    # Share of the calls that fail by chance, before any observation, and the calls that this counts for: at
    # the begin of a run, and within one.
    PRIOR_SHARE, PRIOR_CALLS, PRIOR_CALLS_IN_RUN = 0.05, 5.0, 2.0
    MAX_CALLS = 256.0  # all counts are halved then, so that old observations lose weight
    MAX_LENGTH = 3  # a longer run counts as one of this length: it may have been an outage

    def __init__(self):
        self.calls, self.runs, self.calls_in_runs, self.continued = 0.0, 0.0, 0.0, 0.0

    def add_delivery(self):
        """Counts a call that was delivered after another delivery."""
        self.calls += 1.0
        if self.calls > self.MAX_CALLS:
            self.calls, self.runs = self.calls / 2.0, self.runs / 2.0
            self.calls_in_runs, self.continued = self.calls_in_runs / 2.0, self.continued / 2.0

    def add_run(self, length):
        """Counts a run of so many failed calls that was no proven outage."""
        length = min(length, self.MAX_LENGTH)
        self.calls += 1.0
        self.runs += 1.0
        self.calls_in_runs += length
        self.continued += length - 1

    def chance_rate(self, length, call_rate):
        """Runs of at least that length that come by chance, a second. call_rate: calls a second."""
        begins = (self.runs + self.PRIOR_SHARE * self.PRIOR_CALLS) / (self.calls + self.PRIOR_CALLS)
        more = self.continued + self.PRIOR_SHARE * self.PRIOR_CALLS_IN_RUN
        # Failed calls are no less likely after another one than after a delivery.
        continues = max(begins, more / (self.calls_in_runs + self.PRIOR_CALLS_IN_RUN))
        return call_rate * begins * continues ** (length - 1)
