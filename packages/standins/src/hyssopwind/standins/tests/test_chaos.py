import unittest
from unittest import mock

from hyssopwind.core.membership import leases
from hyssopwind.core.ownership import key_records
from hyssopwind.core.ownership import partitions
from hyssopwind.core.requests import refusals
from hyssopwind.standins.virtual import chaos
from hyssopwind.standins.virtual import loop

ALL_FAULTS_SEEDS = range(1, 7)
OWNERSHIP_FAULTS = ("pause", "replace", "cut", "leave")


def run(seed, faults=None, seconds=40.0, model=chaos.COLD_SERVERS_MODEL):
    plan = chaos.ChaosPlan(seed=seed, duration_seconds=seconds)
    if faults is not None:
        plan = chaos.ChaosPlan(
            seed=seed,
            duration_seconds=seconds,
            faults=faults,
            mean_fault_interval_seconds=0.7,
        )
    return loop.run_virtual(chaos.run_chaos(plan, model))


class ChaosTest(unittest.TestCase):
    def test_guarantees_hold_under_all_faults(self):
        for seed in ALL_FAULTS_SEEDS:
            with self.subTest(seed=seed):
                report = run(seed)
                self.assertEqual(report.violations, ())
                self.assertEqual(report.breaches, ())
                self.assertGreater(report.post_outcome_counts["answered"], 100)
                self.assertGreater(report.get_outcome_counts["answered"], 300)

    def test_keys_run_once_while_owners_change(self):
        for seed in range(11, 17):
            with self.subTest(seed=seed):
                report = run(
                    seed, OWNERSHIP_FAULTS, 20.0, chaos.SLOW_SERVERS_MODEL
                )
                self.assertEqual(report.violations, ())
                self.assertEqual(report.breaches, ())

    def test_same_seed_gives_the_same_run(self):
        self.assertEqual(run(3, seconds=10.0), run(3, seconds=10.0))


class MechanismTest(unittest.TestCase):
    """Disables one mechanism, without which a run must violate a guarantee."""

    def assert_guarantee_is_violated(self, faults=OWNERSHIP_FAULTS):
        for seed in range(11, 19):
            if run(seed, faults, 20.0, chaos.SLOW_SERVERS_MODEL).violations:
                return
        self.fail("no run violated a guarantee without the mechanism")

    def test_missing_creation_time_check_violates_a_guarantee(self):
        with mock.patch.object(
            partitions.KeyPartitions, "_check_new", lambda *_: None
        ):
            self.assert_guarantee_is_violated()

    def test_missing_leases_violate_a_guarantee(self):
        with (
            mock.patch.object(leases.LeaseHolder, "is_held", lambda *_: True),
            mock.patch.object(leases.LeaseHolder, "held_since", lambda *_: 0.0),
        ):
            self.assert_guarantee_is_violated()

    def test_missing_ticket_issuer_check_violates_a_guarantee(self):
        def claim_anywhere(self, text, fingerprint, now):
            return self._key_records.claim(f"t:{text}", fingerprint, now)

        with mock.patch(
            "hyssopwind.core.node.key_component.KeyComponent.claim_ticket",
            claim_anywhere,
        ):
            self.assert_guarantee_is_violated()

    def test_missing_key_records_violate_a_guarantee(self):
        def claim_without_record(self, key, fingerprint, now, keep_until=0.0):
            self._records.pop(key, None)
            return self._claim_new(key, fingerprint, now, keep_until)

        with mock.patch.object(
            key_records.KeyRecordStore, "claim", claim_without_record
        ):
            self.assert_guarantee_is_violated()

    def test_refusing_every_retry_as_not_run_violates_a_guarantee(self):
        with mock.patch.object(
            refusals, "refuse_unclaimed", lambda failure, _: failure
        ):
            self.assert_guarantee_is_violated()


class PoisonTest(unittest.TestCase):
    def test_poison_request_crashes_at_most_two_servers(self):
        report = run(21, ("poison",), seconds=20.0)
        self.assertEqual(report.violations, ())
        poison_requests = report.fault_counts["poison"]
        self.assertGreater(poison_requests, 5)
        self.assertLessEqual(report.crash_count, 2 * poison_requests + 1)
        self.assertEqual(report.get_outcome_counts["not-run: quarantined"], 0)


if __name__ == "__main__":
    unittest.main()
