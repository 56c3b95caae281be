"""New settings at SIGHUP: applied completely or not at all; open notifications keep their terms."""

import asyncio
import json
import signal
import unittest
from dataclasses import replace

from ryestack import interface
from ryestack.interface import Effect, Result
from ryestack.lifecycle.config import BadConfig, load
from ryestack.lifecycle.terms import GRACE_S, Terms, stricter
from ryestack.settings import first_missing_key
from ryestack.wire.client_answers import ACCEPTED, BAD_REQUEST

from .helpers import TOPICS, Folder, brain, config, end, kinds, pushes, settings, take
from .test_owner import OwnerTask
from .test_staff import Staffed

AGAIN, MERGE, ONCE, _ = TOPICS


def tuned(*topics, **more):
    return replace(settings(**more), topic_types=topics)


class TermsDuringAChange(unittest.TestCase):
    def test_a_removed_topic_type_is_accepted_under_its_old_terms_for_a_grace_period(self):
        terms = Terms(tuned(AGAIN))
        terms.change(tuned(MERGE), 10.0)
        self.assertEqual((terms.lookup("again", 10.1)[0], terms.lookup("merge", 10.1)[0]), (AGAIN, MERGE))
        self.assertIsNone(terms.lookup("again", 10.0 + GRACE_S)[0])
        self.assertIsNone(terms.lookup("never", 10.1)[0])

    def test_during_the_grace_period_the_stricter_terms_apply(self):
        for new, old in ((Effect.REPEATABLE, Effect.ONCE_ONLY), (Effect.ONCE_ONLY, Effect.REPEATABLE)):
            terms = Terms(tuned(replace(ONCE, effect=old), max_pushes=3))
            terms.change(tuned(replace(ONCE, effect=new), max_pushes=6), 10.0)
            for now, effect, expected in ((11.0, Effect.ONCE_ONLY, 3), (12.0, new, 6)):
                topic, max_pushes = terms.lookup("once", now)
                self.assertEqual((topic.effect, max_pushes), (effect, expected))
        narrow = replace(MERGE, group="zone", window=4.0)
        self.assertEqual((stricter(MERGE, narrow).group, stricter(narrow, MERGE).window), ("zone", 4.0))
        self.assertEqual(stricter(AGAIN, narrow).window, 4.0)

    def test_a_second_change_keeps_terms_that_clients_may_still_use(self):
        terms = Terms(tuned(ONCE))
        terms.change(tuned(replace(ONCE, effect=Effect.REPEATABLE)), 10.0)
        terms.change(tuned(AGAIN), 11.0)
        self.assertEqual(terms.lookup("once", 11.5)[0].effect, Effect.ONCE_ONLY)

    def test_the_module_keeps_the_terms_a_notification_was_accepted_under(self):
        module = brain()
        module.round(1.0, [take("n", "once"), take("m", "again")])
        changed = tuned(replace(ONCE, effect=Effect.REPEATABLE), AGAIN, max_pushes=1, slots=20)
        fails = [end("n", "a", Result.BROKEN), end("m", "a", Result.ERROR)]
        actions = module.round(1.1, [interface.SettingsChanged(changed), *fails])
        self.assertEqual((kinds(actions, interface.Expire), pushes(actions)), (["n"], [("m", "b")]))
        actions = module.round(1.2, [take("o", "once")]) + module.round(1.3, [end("o", "b", Result.ERROR)])
        self.assertEqual(kinds(actions, interface.Throttle), ["o"])  # the new maximum is one push
        self.assertEqual(module.slots + len({id(call) for call, _ in module.in_flight.values()}), 20)


class InvalidFiles(Folder, unittest.TestCase):
    def test_a_missing_key_is_named(self):
        old = {"a": {"b": 1, "c": None}, "rows": [{"effect": "x", "k": 1, "w": 2}, {"effect": "y", "k": 1}]}
        self.assertEqual(first_missing_key(old, old), "")
        for new, key in (
            ({"rows": old["rows"]}, "a"), ({"a": {}, "rows": []}, "a.b"),
            ({"a": {"b": 2}, "rows": [{"effect": "y"}]}, "rows[].k"),
            ({"a": {"b": 2}, "rows": [{"effect": "x", "k": 3}]}, "rows[].w"),
            ({"a": {"b": 2}, "rows": [{"effect": "y", "k": 3}]}, ""),
        ):
            self.assertEqual(first_missing_key(new, old), key)

    def test_a_value_that_is_no_positive_number_is_refused_at_the_start_too(self):
        row = {"name": "n", "effect": "safe", "targetMs": 1.0, "deadlineMs": 2.0}
        for bad in (0, -1, "9", None, True, [1], float("nan"), float("inf")):
            for change, key in (({"grades": [{**row, "deadlineMs": bad}]}, "deadlineMs"),
                                ({"allowed": {"maxAttempts": bad, "maxOpen": 1}}, "maxAttempts")):
                path = config(self.folder, "127.0.0.1:1", change=change)
                with self.assertRaisesRegex(BadConfig, key):
                    load({"LB_CONFIG": path, "LB_STATE": self.folder})


class OwnerTaskWithTerms(OwnerTask):
    """Runs OwnerTask's tests again, with notifications that bring their terms."""

    def hand_in(self, name, topic="again", due=30.0, body=b"x"):
        message = super().hand_in(name, topic, due, body)
        terms = {t.name: t for t in TOPICS}[topic]
        message.notification = replace(message.notification, terms=terms, max_pushes=6)
        return message

    async def test_a_restart_after_a_change_uses_the_old_terms(self):
        owner = self.owner()
        owner.round([self.hand_in("n", "once"), self.hand_in("m", "merge")])
        changed = tuned(replace(ONCE, effect=Effect.REPEATABLE))
        self.now += 1.0
        owner.ledger.journal.close()
        restarted = self.owner()
        restarted.retune(changed)
        restarted.recover([self.listed])
        self.now += 0.1
        restarted.round([*restarted.take_queue(), interface.TimerFired()])
        self.assertEqual((self.sent_notices, self.sent), ([("n", {"state": "failed"})], [("m", 1)]))
        restarted.ledger.rewrite()
        restarted.ledger.journal.close()
        again = self.owner().ledger.owed["m"].terms
        self.assertEqual(again, ["collapsible", 2.0, 20.0, 1.0, 0.0, "all", 6.0, False, 6])


class Signal(Staffed, unittest.IsolatedAsyncioTestCase):
    """SIGHUP to the running program."""

    async def hup(self, accepted, rejected):
        """Send SIGHUP and wait for these counts of reloads."""
        self.process.send_signal(signal.SIGHUP)
        await self.until(("lb_loads_total", ()), accepted)
        await self.until(("lb_load_errors_total", ()), rejected)

    async def test_an_invalid_file_changes_nothing_and_a_valid_one_everything(self):
        path = f"{self.folder}/config.json"
        with open(path) as file:
            good = file.read()
        document = json.loads(good)
        document["settings"]["grades"][0]["name"] = "fresh"
        incomplete = json.loads(good)
        del incomplete["settings"]["grades"][0]["windowMs"]
        rejected = 0
        for bad in ("", good[:200], json.dumps(incomplete), json.dumps({**document, "ops": None})):
            with open(path, "w") as file:
                file.write(bad)
            rejected += 1
            await self.hup(0, rejected)
        self.assertEqual(await self.ask("POST", "/api"), ACCEPTED)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Class": "fresh"}), BAD_REQUEST)
        with open(path, "w") as file:
            json.dump(document, file)
        await self.hup(1, rejected)
        fresh = {"X-Request-Id": "m", "X-Class": "fresh"}
        self.assertEqual(await self.ask("POST", "/api", **fresh), ACCEPTED)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "o"}), ACCEPTED)  # old settings
        await asyncio.sleep(GRACE_S)
        self.assertEqual(await self.ask("POST", "/api", **{"X-Request-Id": "p"}), BAD_REQUEST)


del OwnerTask  # otherwise its tests would be collected here a second time


if __name__ == "__main__":
    unittest.main()
