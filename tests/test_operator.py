"""The operator file: layers and their origins, messages for all faults, generated pages."""

import os
import random
import tempfile
import unittest

import msgspec

from ryestack.operator import pages
from ryestack.operator.checks import line_of
from ryestack.operator.layers import BadOperator, choose
from ryestack.operator.schema import Operator

GOOD = 'format = 1\n[log]\nformat = "json"\nrepeat = 3\n[ends]\nsink = "file"\npath = "/tmp/ends"\n'


class Files(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = os.path.join(folder.name, "o.toml")

    def write(self, data):
        with open(self.path, "wb") as file:
            file.write(data if isinstance(data, bytes) else data.encode())
        return self.path

    def faults(self, text, environ=None, flags=None):
        with self.assertRaises(BadOperator) as caught:
            choose(self.write(text), environ, flags)
        return [str(f).removeprefix(self.path) for f in caught.exception.faults]


class Layers(Files):
    def test_each_layer_overrides_the_one_before_and_origins_are_kept(self):
        self.write(GOOD)
        env = {"RYESTACK_OPERATOR": self.path, "RYESTACK_LOG_REPEAT": "4.5", "RYESTACK_LOG_LEVEL": "DEBUG"}
        chosen = choose(None, env, {"log.level": "ERROR"})
        log = chosen.values.log
        self.assertEqual((log.format, log.repeat, log.level, log.summary), ("json", 4.5, "ERROR", 10.0))
        found = {key: chosen.origin[key] for key in ("log.format", "log.repeat", "log.level", "log.summary")}
        wanted = [f"{self.path}:3", "environment RYESTACK_LOG_REPEAT", "flag", "default"]
        self.assertEqual(list(found.values()), wanted)

    def test_without_any_layer_all_values_are_defaults(self):
        self.assertEqual(choose().values, Operator())

    def test_an_unknown_variable_and_an_unknown_flag_are_faults(self):
        env = {"RYESTACK_LOG_FORMT": "json", "RYESTACK_LOG_REPEAT": "often"}
        faults = self.faults("format = 1", env, {"log.levl": "x"})
        self.assertEqual(
            faults,
            [
                "environment: RYESTACK_LOG_FORMT: is no such variable; the nearest is RYESTACK_LOG_FORMAT",
                'environment: RYESTACK_LOG_REPEAT: found "often", must be a number from 0 to 3600',
                "flag: log.levl: there is no such key; the nearest is log.level",
            ],
        )

    def test_a_variable_for_a_key_of_a_table_that_is_a_number(self):
        self.assertEqual(
            self.faults("format = 1\nlog = 3", {"RYESTACK_LOG_LEVEL": "INFO"}),
            [":2: log: found 3, must be a table"],
        )


class Faults(Files):
    def test_all_faults_at_once_with_line_key_found_and_allowed(self):
        text = (
            'format = 2\n\n[log]\nformat = "xml"\nrepeat = -1\nsumary = 3\n\n'
            '[directry]\nsource = "x"\n[ends]\npath = 3\n'
        )
        self.assertEqual(
            self.faults(text),
            [
                ":1: format: found 2, must be 1",
                ':4: log.format: found "xml", must be one of "text", "json"',
                ":5: log.repeat: found -1, must be a number from 0 to 3600",
                ":6: log.sumary: there is no such key; the nearest is log.summary",
                ":8: directry: there is no such key" + "; the nearest is directory.source",
                ":11: ends.path: found 3, must be a text of 4096 characters at most",
            ],
        )

    def test_faults_in_combinations_of_keys(self):
        for text, key in (('[ends]\nsink = "file"', ":3"), ('[ends]\npath = "x"', ":3")):
            [fault] = self.faults("format = 1\n" + text)
            self.assertIn("ends.path: ", fault)

    def test_a_file_that_is_missing_or_not_toml_or_not_utf8_or_without_format_or_too_large(self):
        with self.assertRaises(BadOperator) as caught:
            choose(self.path)
        self.assertIn("No such file", str(caught.exception))
        self.assertIn("is not valid TOML", self.faults("format = ")[0])
        self.assertIn("is not valid UTF-8", self.faults(b"\xff\xfe")[0])
        self.assertIn("is missing, must be 1", self.faults("")[0])
        self.assertIn("larger", self.faults("#" * 2_000_000)[0])

    def test_a_thousand_mutated_files_give_faults_or_settings(self):
        rng, good, bad = random.Random(14), 0, 0
        words = b'[ ] = " \n nan inf 1e999 1979-05-27 {} true \x00 \xc3 "a\\nb"=1 log. """'.split(b" ")
        words += [b"9" * 30, b"[[log]]\n", b'\n"a\\nb" = 1\n']
        for _ in range(1000):
            data = bytearray(GOOD.encode())
            for _ in range(rng.randint(1, 3)):
                position = rng.randrange(len(data) + 1)
                data[position : position + rng.choice((0, 0, 1, 9))] = rng.choice(
                    (rng.choice(words), bytes([rng.randrange(256)]), bytes(data[position : position + 20]))
                )
            try:
                choose(self.write(bytes(data)))
                good += 1
            except BadOperator as problem:
                bad += 1
                for fault in problem.faults:
                    self.assertTrue(str(fault).isprintable(), str(fault))
        self.assertGreater(min(good, bad), 5)

    def test_line_of_finds_keys_in_lists_of_tables_and_dotted_keys(self):
        text = 'a.b = 1\n[[row]]\nx = 1\n[[row]]\nx = 2\ny = {z = 3}\n'
        found = [line_of(text, key) for key in ("a.b", "row[1].x", "row[1].y.z", "none")]
        self.assertEqual(found, [1, 5, 6, 0])


class Pages(Files):
    def test_the_initial_file_is_valid_and_has_the_defaults(self):
        self.assertEqual(choose(self.write(pages.first_file())).values, Operator())

    def test_the_json_schema_has_the_keys(self):
        self.assertIn("summary", str(msgspec.json.schema(Operator)))


if __name__ == "__main__":
    unittest.main()
