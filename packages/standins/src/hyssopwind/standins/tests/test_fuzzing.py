"""Seeded mutations of what others write, at each place that decodes it."""

import unittest

from hyssopwind.core import decoding
from hyssopwind.standins.fuzzing import places
from hyssopwind.standins.fuzzing import running

SEED = 7


class FuzzingTest(unittest.TestCase):
    def test_no_input_raises_anything_but_a_decode_error(self):
        names = running.find_places()
        self.assertGreaterEqual(len(names), 14)
        for name in names:
            with self.subTest(name):
                self.assertGreater(running.fuzz(name, SEED), 50)

    def test_place_that_raises_another_error_is_found(self):
        original = places.PLACES.find("transferred outcomes")
        broken = places.Place(
            "broken", original.inputs, lambda data: data.decode("ascii")
        )
        places.PLACES.register("broken")(broken)
        self.addCleanup(places.PLACES._entries.pop, "broken")
        with self.assertRaises(UnicodeDecodeError):
            running.fuzz("broken", SEED)

    def test_decode_errors_are_allowed(self):
        original = places.PLACES.find("transferred outcomes")

        def refuse(data):
            raise decoding.DecodeError("no")

        refusing = places.Place("refusing", original.inputs, refuse)
        places.PLACES.register("refusing")(refusing)
        self.addCleanup(places.PLACES._entries.pop, "refusing")
        self.assertGreater(running.fuzz("refusing", SEED), 50)


if __name__ == "__main__":
    unittest.main()
