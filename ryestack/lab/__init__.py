"""Load generation, judging of the rules, and trials. Needs the extra `lab`; the relay never imports it."""
