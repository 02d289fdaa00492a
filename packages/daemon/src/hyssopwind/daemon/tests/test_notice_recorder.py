import unittest
from unittest import mock

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.limits import rate_limits
from hyssopwind.core.limits import server_notices
from hyssopwind.core.limits import server_withdrawals
from hyssopwind.core.limits import stated_limits
from hyssopwind.daemon.gateway import notice_recorder
from hyssopwind.transport import boot_clock

PROBE = server_notices.AnswerKind.PROBE
REFUSAL = server_notices.AnswerKind.REFUSAL


def make_entry(server="i-1", started_at_ms=1):
    return entries.ServerEntry(
        id=ids.ServerId(server),
        service=ids.ServiceId("s"),
        address="127.0.0.1:80",
        data_centre=ids.DataCentreId("north"),
        slots=4,
        is_draining=False,
        warmup_left_seconds=0.0,
        started_at_ms=started_at_ms,
    )


class NoticeRecorderTest(unittest.TestCase):
    def setUp(self):
        self.limits = rate_limits.RateLimits(
            catalogue.Catalogue(), stated_limits.StatedLimits()
        )
        self.withdrawals = server_withdrawals.ServerWithdrawals()
        self.changed_services = []
        self.announced = []
        self.recorder = notice_recorder.NoticeRecorder(
            self.limits,
            self.withdrawals,
            self.changed_services.append,
            self.announced.append,
        )

    def rate(self, entry):
        return self.limits.stated.rate(entry.instance, boot_clock.now())

    def test_refusals_with_503_and_421_state_limits(self):
        for number, status in enumerate((503, 421)):
            entry = make_entry(f"i-{number}")
            fields = {"Server-Limit": "1.5", "Instance-Id": entry.id}
            self.recorder.record_answer(entry, REFUSAL, status, fields)
            self.assertEqual(self.rate(entry), 1.5)
        self.assertEqual(self.changed_services, ["s", "s"])

    # The address of a server that has ended is used by another one, which
    # answers 421 and states its own limit.
    def test_limit_of_another_server_at_the_address_is_not_recorded(self):
        entry = make_entry()
        fields = {"Server-Limit": "1.5", "Instance-Id": "i-other"}
        self.recorder.record_answer(entry, REFUSAL, 421, fields)
        self.assertIsNone(self.rate(entry))

    def test_next_start_of_a_server_is_not_leaving(self):
        self.recorder.record_answer(
            make_entry(), PROBE, 200, {"Server-Leaving": "1"}
        )
        now = boot_clock.now()
        before = make_entry().instance
        after = make_entry(started_at_ms=2).instance
        self.assertFalse(self.withdrawals.may_send(before, now))
        self.assertTrue(self.withdrawals.may_send(after, now))
        self.assertEqual(self.announced, [before])

    def test_leaving_is_announced_only_once_and_not_after_a_peer(self):
        self.recorder.handle_leaving_notice(make_entry().instance)
        for _ in range(2):
            self.recorder.record_answer(
                make_entry(), PROBE, 200, {"Server-Leaving": "1"}
            )
        self.assertEqual(self.announced, [])

    def test_quiet_is_extended_and_not_shortened(self):
        entry = make_entry()
        for text in ("4", "0.5", "bad"):
            self.recorder.record_answer(
                entry, REFUSAL, 503, {"Retry-After": text}
            )
        left = self.withdrawals.quiet_until(entry.instance) - boot_clock.now()
        self.assertGreater(left, 3.5)

    def test_values_that_are_no_numbers_are_ignored(self):
        entry = make_entry()
        for text in ("", "-1", "nan", "inf", "1e999", "two", "0x1"):
            self.recorder.record_answer(
                entry, PROBE, 200, {"Server-Limit": text}
            )
            self.assertIsNone(self.rate(entry), text)

    # An unreadable limit counted as an answer without one.
    def test_unreadable_limit_does_not_end_a_limit(self):
        entry = make_entry()
        clock = mock.patch.object(boot_clock, "now", return_value=100.0)
        with clock as now:
            for text in ("1.5", "two", "two"):
                self.recorder.record_answer(
                    entry, PROBE, 200, {"Server-Limit": text}
                )
                now.return_value += 10.0
            self.assertEqual(self.rate(entry), 1.5)
