"""Long seeded runs of the decisions about requests that check invariants."""

import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.dispatch import retry_policy
from hyssopwind.core.routing import splitting
from hyssopwind.core.routing import tables

SEEDS = range(1, 21)
RESULTS = (
    attempt_results.Shed("", 0.0),
    attempt_results.Failed(attempt_results.FailureKind.NOT_CONNECTED),
    attempt_results.Failed(attempt_results.FailureKind.BROKEN),
    attempt_results.Failed(attempt_results.FailureKind.GARBLED),
    attempt_results.Failed(attempt_results.FailureKind.TIMED_OUT),
    attempt_results.WholeAnswer(outcomes.Answered(500, (), b""), "", 0.1),
    attempt_results.WholeAnswer(outcomes.Answered(200, (), b""), "", 0.1),
)


class AttemptsTest(unittest.TestCase):
    def test_non_idempotent_request_runs_at_most_once(self):
        """Attempts end in every way; "not run" is reported only if true."""
        for seed in SEEDS:
            random_source = random.Random(seed)
            for _ in range(500):
                self.run_attempts(
                    random_source, is_idempotent=random_source.random() < 0.5
                )

    def run_attempts(self, random_source, is_idempotent):
        attempts_left, may_have_run_count = 2, 0
        while True:
            result = random_source.choice(RESULTS)
            attempts_left -= 1
            execution = attempt_results.classify_execution(result)
            may_have_run_count += (
                execution is not attempt_results.Execution.NEVER
            )
            decision = retry_policy.retry_decision(
                result,
                is_idempotent=is_idempotent,
                attempts_left=attempts_left,
                remaining_seconds=1.0,
            )
            if decision is retry_policy.RetryDecision.FINISH:
                break
        if not is_idempotent:
            self.assertLessEqual(may_have_run_count, 1)
        self.assertGreaterEqual(attempts_left, 0)
        if isinstance(result, attempt_results.WholeAnswer) or is_idempotent:
            return
        failure = attempt_results.failure_outcome(
            result, is_idempotent=False, retry_after_seconds=1.0
        )
        if isinstance(failure, outcomes.NotRun):
            self.assertEqual(may_have_run_count, 0)


class CatalogueTest(unittest.TestCase):
    """Servers are added, drain, are removed and change their service."""

    def test_unusable_servers_get_no_requests(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.apply_random_changes(random.Random(seed))

    def apply_random_changes(self, random_source):
        servers = catalogue.Catalogue()
        expected_entries = {}
        data_centres = [ids.DataCentreId(name) for name in ("a", "b")]
        evacuated = set()
        highest_version, now = 0, 0.0
        for _ in range(600):
            now += random_source.random()
            action = random_source.randrange(6)
            name = ids.ServerId(f"i-{random_source.randrange(6)}")
            if action <= 1:
                entry = self.make_entry(random_source, name, data_centres)
                servers.apply_record(records.ServerRecord(entry), now)
                expected_entries[name] = entry
            elif action == 2:
                servers.apply_record(records.ServerRemoved(name), now)
                expected_entries.pop(name, None)
            elif action == 3:
                data_centre = random_source.choice(data_centres)
                active = random_source.random() < 0.5
                servers.apply_record(
                    records.EvacuationRecord(data_centre, active), now
                )
                (evacuated.add if active else evacuated.discard)(data_centre)
            elif action == 4:
                version = random_source.randrange(1_000)
                self.configure(servers, version, now)
                highest_version = max(highest_version, version)
            else:
                servers.remove_expired(now)
            self.assertEqual(servers.configuration_version, highest_version)
            self.check_usable_servers(servers, expected_entries, evacuated, now)

    def make_entry(self, random_source, name, data_centres):
        return entries.ServerEntry(
            id=name,
            service=ids.ServiceId(random_source.choice("st")),
            address="127.0.0.1:80",
            data_centre=random_source.choice(data_centres),
            slots=4,
            is_draining=random_source.random() < 0.3,
            warmup_left_seconds=0.0,
            started_at_ms=random_source.randrange(3),
        )

    def configure(self, servers, version, now):
        configuration = tables.Configuration(
            version, (), {}, tables.CallerLimits()
        )
        servers.apply_record(records.ConfigurationRecord(configuration), now)

    def check_usable_servers(self, servers, expected_entries, evacuated, now):
        for service in (ids.ServiceId("s"), ids.ServiceId("t")):
            usable = {e.entry.id for e in servers.usable_servers(service, now)}
            expected = {
                name
                for name, entry in expected_entries.items()
                if entry.service == service
                and not entry.is_draining
                and entry.data_centre not in evacuated
            }
            self.assertEqual(usable, expected)
        for name in expected_entries:
            entry = expected_entries[name]
            may_send = (
                not entry.is_draining and entry.data_centre not in evacuated
            )
            self.assertEqual(servers.may_send(name, now), may_send)


class SplitTest(unittest.TestCase):
    def test_shares_follow_changed_weights(self):
        """Operators change the weights repeatedly on fifteen daemons."""
        for seed in SEEDS:
            random_source = random.Random(seed)
            splitters = [splitting.Splitter(random_source) for _ in range(15)]
            for _ in range(3):
                weight = random_source.choice([0.05, 0.1, 0.25, 0.5])
                parts = (
                    tables.WeightedService(ids.ServiceId("s"), 1 - weight),
                    tables.WeightedService(ids.ServiceId("t"), weight),
                )
                chosen = [
                    random_source.choice(splitters).choose("r", parts)
                    for _ in range(600)
                ]
                share = chosen.count("t") / len(chosen)
                self.assertAlmostEqual(share, weight, delta=0.1)


class QuarantineTest(unittest.TestCase):
    """A request that crashes servers is sent repeatedly to fifteen daemons."""

    def test_crashing_request_is_quarantined_and_others_are_not(self):
        for seed in SEEDS:
            random_source = random.Random(seed)
            daemons = [quarantine.CrashQuarantine() for _ in range(15)]
            crashing, harmless = ids.Fingerprint("p"), ids.Fingerprint("i")
            crash_count, now = 0, 0.0
            for _ in range(200):
                now += 0.2
                daemon = random_source.choice(daemons)
                self.assertFalse(daemon.is_quarantined(harmless, now))
                daemon.record_completed(harmless, now, now + 0.1)
                if daemon.is_quarantined(crashing, now):
                    continue
                if daemon.record_crash(crashing, now, now + 0.1):
                    crash_count += 1
                    for other_daemon in daemons:
                        if other_daemon is not daemon:
                            other_daemon.handle_notice(crashing, 1, now + 0.15)
            self.assertLessEqual(crash_count, quarantine.CRASHES_TO_QUARANTINE)
