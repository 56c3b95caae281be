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
    def test_each_layer_over_the_one_before_with_its_origin(self):
        self.write(GOOD)
        env = {"RYESTACK_OPERATOR": self.path, "RYESTACK_LOG_REPEAT": "4.5", "RYESTACK_LOG_LEVEL": "DEBUG"}
        chosen = choose(None, env, {"log.level": "ERROR"})
        log = chosen.values.log
        self.assertEqual((log.format, log.repeat, log.level, log.summary), ("json", 4.5, "ERROR", 10.0))
        told = {key: chosen.origin[key] for key in ("log.format", "log.repeat", "log.level", "log.summary")}
        wanted = [f"{self.path}:3", "environment RYESTACK_LOG_REPEAT", "flag", "default"]
        self.assertEqual(list(told.values()), wanted)

    def test_nothing_chosen_is_the_defaults(self):
        self.assertEqual(choose().values, Operator())

    def test_a_variable_and_a_flag_that_do_not_exist(self):
        env = {"RYESTACK_LOG_FORMT": "json", "RYESTACK_LOG_REPEAT": "often"}
        told = self.faults("format = 1", env, {"log.levl": "x"})
        self.assertEqual(
            told,
            [
                "environment: RYESTACK_LOG_FORMT: is no such variable; the nearest is RYESTACK_LOG_FORMAT",
                'environment: RYESTACK_LOG_REPEAT: found "often", must be a number from 0 to 3600',
                "flag: log.levl: there is no such key; the nearest is log.level",
            ],
        )

    def test_a_table_that_is_none_meets_a_variable_for_a_key_in_it(self):
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

    def test_what_no_single_key_shows(self):
        for text, key in (('[ends]\nsink = "file"', ":3"), ('[ends]\npath = "x"', ":3")):
            [told] = self.faults("format = 1\n" + text)
            self.assertIn("ends.path: ", told)

    def test_no_file_no_toml_no_text_no_format_too_large(self):
        with self.assertRaises(BadOperator) as caught:
            choose(self.path)
        self.assertIn("No such file", str(caught.exception))
        self.assertIn("is no TOML", self.faults("format = ")[0])
        self.assertIn("is no UTF-8", self.faults(b"\xff\xfe")[0])
        self.assertIn("is missing, must be 1", self.faults("")[0])
        self.assertIn("larger", self.faults("#" * 2_000_000)[0])

    def test_a_thousand_mutated_files_give_faults_or_choices(self):
        chance, good, bad = random.Random(14), 0, 0
        words = b'[ ] = " \n nan inf 1e999 1979-05-27 {} true \x00 \xc3 "a\\nb"=1 log. """'.split(b" ")
        words += [b"9" * 30, b"[[log]]\n", b'\n"a\\nb" = 1\n']
        for _ in range(1000):
            data = bytearray(GOOD.encode())
            for _ in range(chance.randint(1, 3)):
                at = chance.randrange(len(data) + 1)
                data[at : at + chance.choice((0, 0, 1, 9))] = chance.choice(
                    (chance.choice(words), bytes([chance.randrange(256)]), bytes(data[at : at + 20]))
                )
            try:
                choose(self.write(bytes(data)))
                good += 1
            except BadOperator as told:
                bad += 1
                for fault in told.faults:
                    self.assertTrue(str(fault).isprintable(), str(fault))
        self.assertGreater(min(good, bad), 5)

    def test_lines_are_found_in_lists_of_tables_and_under_dotted_keys(self):
        text = 'a.b = 1\n[[row]]\nx = 1\n[[row]]\nx = 2\ny = {z = 3}\n'
        found = [line_of(text, key) for key in ("a.b", "row[1].x", "row[1].y.z", "none")]
        self.assertEqual(found, [1, 5, 6, 0])


class Pages(Files):
    def test_the_first_file_is_good_and_at_the_defaults(self):
        self.assertEqual(choose(self.write(pages.first_file())).values, Operator())

    def test_the_schema_knows_each_key(self):
        self.assertIn("summary", str(msgspec.json.schema(Operator)))


if __name__ == "__main__":
    unittest.main()
