"""Load on sockets, the judge of the rules, and trials. Needs the extra `lab`; `run` never imports it."""
