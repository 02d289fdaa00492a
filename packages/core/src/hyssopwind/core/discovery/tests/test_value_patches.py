import json
import unittest

import hypothesis
from hypothesis import strategies

from hyssopwind.core.discovery import value_patches

VALUES = strategies.lists(
    strategies.sampled_from(
        [b"{", b"}", b"}}", b"", b'{"name":"a long enough member"', b"x" * 20]
    ),
    max_size=20,
).map(b"".join)


class ValuePatchTest(unittest.TestCase):
    @hypothesis.given(VALUES, VALUES)
    def test_patch_makes_the_target_from_the_base(self, base, target):
        steps = value_patches.make_patch(base, target)
        self.assertEqual(value_patches.apply_patch(base, steps), target)

    # Each change moved the whole configuration over each link.
    def test_patch_of_five_changed_routes_is_small(self):
        routes = [
            {"name": f"route-{number}", "spec": {"timeout_s": 1.0}}
            for number in range(1_465)
        ]
        base = json.dumps({"resources": routes}).encode()
        for route in routes[700:705]:
            route["spec"]["timeout_s"] = 2.0
        target = json.dumps({"resources": routes}).encode()
        steps = value_patches.make_patch(base, target)
        added = sum(len(step) for step in steps if isinstance(step, bytes))
        self.assertLess(added, 400)
        self.assertLess(len(steps), 20)

    def test_patch_of_another_base_is_rejected(self):
        for step in ((0, 3), (-1, 1), (0, 0)):
            with self.assertRaises(value_patches.PatchError):
                value_patches.apply_patch(b"a}b", [step])


if __name__ == "__main__":
    unittest.main()
