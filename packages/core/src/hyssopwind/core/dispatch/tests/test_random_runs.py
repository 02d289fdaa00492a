"""Long seeded runs of the decisions about requests, with the rules asserted."""

import random
import unittest

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import judgement
from hyssopwind.core.attempts import quarantine
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.dispatch import attempts
from hyssopwind.core.routing import splitting
from hyssopwind.core.routing import tables

SEEDS = range(1, 21)
RESULTS = (
    judgement.Shed("", 0.0),
    judgement.Failed(judgement.FailureKind.NOT_CONNECTED),
    judgement.Failed(judgement.FailureKind.BROKEN),
    judgement.Failed(judgement.FailureKind.GARBLED),
    judgement.Failed(judgement.FailureKind.TIMED_OUT),
    judgement.WholeAnswer(outcomes.Answered(500, (), b""), "", 0.1),
    judgement.WholeAnswer(outcomes.Answered(200, (), b""), "", 0.1),
)


class AttemptsTest(unittest.TestCase):
    def test_at_most_one_run_and_true_refusals(self):
        """Servers fail in every way; a request of an unsafe route runs once."""
        for seed in SEEDS:
            luck = random.Random(seed)
            for _ in range(500):
                self.play(luck, idempotent=luck.random() < 0.5)

    def play(self, luck, idempotent):
        tries, may_have_run = 2, 0
        while True:
            result = luck.choice(RESULTS)
            tries -= 1
            execution = judgement.judge_execution(result)
            may_have_run += execution is not judgement.Execution.NEVER
            step = attempts.next_step(
                result, idempotent=idempotent, tries_left=tries, remaining=1.0
            )
            if step is attempts.Step.FINISH:
                break
        if not idempotent:
            self.assertLessEqual(may_have_run, 1)
        self.assertGreaterEqual(tries, 0)
        if isinstance(result, judgement.WholeAnswer) or idempotent:
            return
        failure = judgement.failure_outcome(
            result, may_repeat=False, retry_after=1.0
        )
        if isinstance(failure, outcomes.NotRun):
            self.assertEqual(may_have_run, 0)


class CatalogueTest(unittest.TestCase):
    """Servers come, drain, vanish, come back and change their service."""

    def test_nothing_is_sent_where_nothing_may_go(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, luck):
        known = catalogue.Catalogue()
        model = {}
        centres = [ids.DataCentreId(name) for name in ("a", "b")]
        evacuated = set()
        highest, now = 0, 0.0
        for _ in range(600):
            now += luck.random()
            step = luck.randrange(6)
            name = ids.ServerId(f"i-{luck.randrange(6)}")
            if step <= 1:
                entry = self.make_entry(luck, name, centres)
                known.take(records.ServerRecord(entry), now)
                model[name] = entry
            elif step == 2:
                known.take(records.ServerGone(name), now)
                model.pop(name, None)
            elif step == 3:
                centre = luck.choice(centres)
                active = luck.random() < 0.5
                known.take(records.EvacuationRecord(centre, active), now)
                (evacuated.add if active else evacuated.discard)(centre)
            elif step == 4:
                version = luck.randrange(1_000)
                self.configure(known, version, now)
                highest = max(highest, version)
            else:
                known.expire(now)
            self.assertEqual(known.version, highest)
            self.check(known, model, evacuated, now)

    def make_entry(self, luck, name, centres):
        return entries.ServerEntry(
            id=name,
            service=ids.ServiceId(luck.choice("st")),
            address="127.0.0.1:80",
            data_centre=luck.choice(centres),
            slots=4,
            draining=luck.random() < 0.3,
            warmup_left=0.0,
            started=luck.randrange(3),
        )

    def configure(self, known, version, now):
        configuration = tables.Configuration(
            version, (), {}, tables.CallerLimits()
        )
        known.take(records.ConfigurationRecord(configuration), now)

    def check(self, known, model, evacuated, now):
        for service in (ids.ServiceId("s"), ids.ServiceId("t")):
            usable = {e.entry.id for e in known.usable(service, now)}
            wanted = {
                name
                for name, entry in model.items()
                if entry.service == service
                and not entry.draining
                and entry.data_centre not in evacuated
            }
            self.assertEqual(usable, wanted)
        for name in model:
            entry = model[name]
            may = not entry.draining and entry.data_centre not in evacuated
            self.assertEqual(known.may_send(name, now), may)


class SplitTest(unittest.TestCase):
    def test_shares_follow_changing_weights(self):
        """Fifteen daemons, weights that operators change again and again."""
        for seed in SEEDS:
            luck = random.Random(seed)
            splitters = [splitting.Splitter(luck) for _ in range(15)]
            for _ in range(3):
                weight = luck.choice([0.05, 0.1, 0.25, 0.5])
                parts = (
                    tables.WeightedService(ids.ServiceId("s"), 1 - weight),
                    tables.WeightedService(ids.ServiceId("t"), weight),
                )
                chosen = [
                    luck.choice(splitters).choose("r", parts)
                    for _ in range(600)
                ]
                share = chosen.count("t") / len(chosen)
                self.assertAlmostEqual(share, weight, delta=0.1)


class QuarantineTest(unittest.TestCase):
    """A request that crashes servers comes again at fifteen daemons."""

    def test_it_reaches_few_servers_and_others_go_on(self):
        for seed in SEEDS:
            luck = random.Random(seed)
            daemons = [quarantine.CrashQuarantine() for _ in range(15)]
            poison, innocent = ids.Fingerprint("p"), ids.Fingerprint("i")
            crashes, now = 0, 0.0
            for _ in range(200):
                now += 0.2
                daemon = luck.choice(daemons)
                self.assertFalse(daemon.is_quarantined(innocent, now))
                daemon.note_completed(innocent, now, now + 0.1)
                if daemon.is_quarantined(poison, now):
                    continue
                if daemon.note_crash(poison, now, now + 0.1):
                    crashes += 1
                    for other in daemons:
                        if other is not daemon:
                            other.take_notice(poison, 1, now + 0.15)
            self.assertLessEqual(crashes, quarantine.CRASHES_TO_QUARANTINE)
