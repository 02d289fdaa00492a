"""The order of the requests that wait for one service."""

import random
import unittest

from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import waiting_order

RUNS = 100


def rank(priority, *, is_new=True):
    return waiting_order.Rank(priorities.Priority(priority), is_new)


def take_first(order):
    first = order.find_first()
    order.remove(first, was_first=True)
    return first


class OrderTest(unittest.TestCase):
    def setUp(self):
        self.order = waiting_order.WaitingOrder()

    def test_urgent_request_does_not_wait_behind_earlier_bulk(self):
        self.order.add("bulk", rank(2))
        self.order.add("urgent", rank(0))
        self.assertEqual(self.order.find_first(), "urgent")
        self.assertEqual(self.order.count_before(rank(0)), 1)
        self.assertEqual(self.order.count_before(rank(3)), 2)

    def test_requests_of_one_class_keep_the_order_of_their_arrival(self):
        for number in range(5):
            self.order.add(number, waiting_order.UNRANKED)
        self.assertEqual(
            [take_first(self.order) for _ in range(5)], list(range(5))
        )

    def test_request_that_returns_after_a_refusal_precedes_new_ones(self):
        self.order.add("new", rank(1))
        self.order.add("returned", rank(1, is_new=False))
        self.order.add("urgent", rank(0))
        self.assertEqual(
            [take_first(self.order) for _ in range(3)],
            ["urgent", "returned", "new"],
        )

    def test_request_that_gives_up_behind_others_uses_no_turn(self):
        self.order.add("urgent", rank(0))
        for number in range(20):
            self.order.add(f"bulk {number}", rank(2))
        for number in range(19):
            self.order.remove(f"bulk {number}", was_first=False)
        self.assertEqual(self.order.find_first(), "urgent")


class StarvationTest(unittest.TestCase):
    # Endless urgent requests kept all others waiting until they gave up.
    def test_each_class_gets_a_quarter_of_its_share_of_the_line(self):
        for seed in range(RUNS):
            random_source = random.Random(seed)
            order = waiting_order.WaitingOrder()
            classes = range(random_source.randint(2, 4))
            # The line of each class is refilled, so that it never empties.
            lengths = [random_source.randint(1, 9) for _ in classes]
            for priority, length in enumerate(lengths):
                for number in range(length):
                    order.add((priority, number), rank(priority))
            turns = 300
            counts = [0 for _ in classes]
            for turn in range(turns):
                priority, _ = take_first(order)
                counts[priority] += 1
                order.add((priority, 1_000 + turn), rank(priority))
            for priority, length in enumerate(lengths):
                share = length / sum(lengths)
                guaranteed = waiting_order.MIN_TURN_RATIO * share
                with self.subTest(seed=seed, priority=priority):
                    # The last turns may not be used yet.
                    self.assertGreaterEqual(
                        counts[priority],
                        guaranteed * turns - waiting_order.MAX_TURNS,
                    )
            with self.subTest(seed=seed):
                self.assertGreaterEqual(counts[0], 0.7 * turns)

    # A class below its share went before all others until it was above it.
    def test_granted_turn_lets_one_request_of_a_class_pass(self):
        order = waiting_order.WaitingOrder()
        for number in range(3):
            order.add(f"bulk {number}", rank(2))
            order.add(f"urgent {number}", rank(0))
        order.grant_turn(priorities.Priority(2))
        order.grant_turn(priorities.Priority(2))
        self.assertEqual(
            [take_first(order) for _ in range(3)],
            ["bulk 0", "urgent 0", "urgent 1"],
        )

    # A due class that the reserve held back blocked the line for urgent ones.
    def test_due_request_without_a_slot_lets_others_pass_and_keeps_its_turn(
        self,
    ):
        order = waiting_order.WaitingOrder()
        order.add("bulk", rank(2))
        for number in range(9):
            order.add(number, rank(0))
        while order.find_first() != "bulk":
            number = take_first(order)
            order.add(f"next {number}", rank(0))
        order.hold_back("bulk")
        self.assertNotEqual(order.find_first(), "bulk")
        self.assertEqual(order.count_before(rank(0)), 9)
        take_first(order)
        self.assertEqual(order.find_first(), "bulk")

    def test_number_of_times_that_a_request_is_passed_over_is_bounded(self):
        for waiting_count in (1, 2, 5, 10):
            order = waiting_order.WaitingOrder()
            order.add("bulk", rank(2))
            for number in range(waiting_count):
                order.add(number, rank(0))
            passed_count = 0
            while take_first(order) != "bulk":
                order.add(1_000 + passed_count, rank(0))
                passed_count += 1
            with self.subTest(waiting_count=waiting_count):
                share = 1 / (waiting_count + 1)
                self.assertLessEqual(
                    passed_count, 1 / (waiting_order.MIN_TURN_RATIO * share)
                )
