"""Judging of lost answers, and stops of the built gateway under load."""

import asyncio
import dataclasses
import pathlib
import tempfile
import unittest

from hyssopwind.standins.stops import judging
from hyssopwind.standins.stops import plans
from hyssopwind.standins.stops import records
from hyssopwind.standins.stops import rig
from hyssopwind.standins.stops import scenarios

RUNS_ALONE = True  # real sockets and times

TERMINATED_AT = 100.0
BOUNDS = judging.Bounds()


def make_caller(**changes):
    """Returns a request that was cut two seconds after SIGTERM."""
    values = {
        "request_id": "r",
        "kind": plans.VENUE,
        "gateway": 0,
        "connection": 1,
        "requests_ahead": 0,
        "sent_first_at": TERMINATED_AT + 1.5,
        "sent_last_at": TERMINATED_AT + 1.5,
        "ended_at": TERMINATED_AT + 2.0,
        "ending": records.Ending.CLOSED,
    }
    return records.CallerRecord(**{**values, **changes})


def make_arrival(began_at, ended_at=None):
    return records.ServerRecord("r", "i-1", began_at, began_at, ended_at)


def make_timeline(**changes):
    values = {"started_at": [0.0], "terminated_at": [TERMINATED_AT]}
    return records.GatewayTimeline(**{**values, **changes})


class JudgingTest(unittest.TestCase):
    def check(self, verdict, caller, arrivals=(), timeline=None):
        timeline = timeline or make_timeline()
        self.assertIs(
            judging.judge(caller, arrivals, timeline, BOUNDS), verdict
        )

    # An oracle that reports every stop would prove nothing.
    def test_whole_answer_is_no_finding(self):
        caller = make_caller(ending=records.Ending.WHOLE, is_stamped=True)
        arrival = make_arrival(TERMINATED_AT + 1.6, TERMINATED_AT + 1.9)
        self.check(judging.Verdict.ANSWERED, caller, [arrival])

    # The finished work of a server, or a part of an answer, must not excuse it.
    def test_cut_request_that_was_passed_on_is_lost(self):
        arrival = make_arrival(TERMINATED_AT + 1.6, TERMINATED_AT + 1.9)
        for ending in (records.Ending.CLOSED, records.Ending.RESET):
            # A part of an answer, or its head alone, is no whole answer.
            for changes in ({}, {"status": 200, "bytes_received": 9}):
                caller = make_caller(ending=ending, **changes)
                self.check(judging.Verdict.LOST, caller, [arrival])

    # Requests behind a closing answer are excused only if no server got them.
    def test_position_on_the_connection_excuses_only_what_was_not_passed_on(
        self,
    ):
        caller = make_caller(requests_ahead=2)
        self.check(judging.Verdict.BEHIND, caller)
        arrival = make_arrival(TERMINATED_AT + 1.6)
        self.check(judging.Verdict.LOST, caller, [arrival])

    # A request that was read and held back would otherwise go unnoticed.
    def test_request_that_was_not_passed_on_is_lost_after_the_slack(self):
        self.check(judging.Verdict.LOST_UNSENT, make_caller())
        late = make_caller(sent_last_at=TERMINATED_AT + 1.85)
        self.check(judging.Verdict.UNREAD, late)
        half_sent = make_caller(sent_last_at=None)
        self.check(judging.Verdict.UNREAD, half_sent)
        # Without an arrival or an orderly end, nothing shows that it was read.
        reset = make_caller(ending=records.Ending.RESET)
        self.check(judging.Verdict.UNKNOWN, reset)

    # A failure in place of the answer would hide that a request was broken off.
    def test_own_answer_in_place_of_a_working_server_is_a_finding(self):
        caller = make_caller(ending=records.Ending.WHOLE, status=502)
        self.check(judging.Verdict.ANSWERED, caller)
        ended = make_arrival(TERMINATED_AT + 1.6, TERMINATED_AT + 1.9)
        self.check(judging.Verdict.ANSWERED, caller, [ended])
        working = make_arrival(TERMINATED_AT + 1.6)
        self.check(judging.Verdict.REPLACED, caller, [working])

    def test_own_answer_that_follows_the_disconnection_is_a_finding(self):
        # The gateway breaks off its attempt, and then answers itself.
        caller = make_caller(ending=records.Ending.WHOLE, status=502)
        broken_off = make_arrival(TERMINATED_AT + 1.6)
        broken_off.disconnected_at = TERMINATED_AT + 1.999
        self.check(judging.Verdict.REPLACED, caller, [broken_off])

    # Not counted: the server broke off.
    def test_crash_of_the_last_server_excuses(self):
        caller = make_caller(ending=records.Ending.WHOLE, status=502)
        arrival = make_arrival(TERMINATED_AT + 1.6)
        self.check(judging.Verdict.REPLACED, caller, [arrival])
        crashed = make_arrival(TERMINATED_AT + 1.6)
        crashed.broke_off_at = TERMINATED_AT + 1.9
        self.check(judging.Verdict.BROKEN_OFF, caller, [crashed])
        self.check(judging.Verdict.REPLACED, caller, [crashed, arrival])

    def test_request_that_a_server_got_was_wholly_sent(self):
        # Its caller pauses after the last part of the body.
        caller = make_caller(sent_last_at=None)
        arrival = make_arrival(TERMINATED_AT + 1.6, TERMINATED_AT + 1.9)
        self.check(judging.Verdict.LOST, caller, [arrival])

    # The excuse must begin with the timeout, not shortly before it.
    def test_timeout_or_deadline_excuses(self):
        arrival = make_arrival(TERMINATED_AT + 0.8)
        browse = make_caller(
            kind=plans.BROWSE,
            sent_first_at=TERMINATED_AT + 0.8,
            sent_last_at=TERMINATED_AT + 0.8,
        )
        self.check(judging.Verdict.TIMED_OUT, browse, [arrival])
        earlier = dataclasses.replace(browse, ended_at=TERMINATED_AT + 1.99)
        self.check(judging.Verdict.LOST, earlier, [arrival])

    # Requests from after the balancer's delay have no excuse.
    def test_work_at_the_end_excuses_only_requests_from_before_three_seconds(
        self,
    ):
        arrival = make_arrival(TERMINATED_AT + 2.9)
        arrival.disconnected_at = TERMINATED_AT + 5.6
        cut = {"ended_at": TERMINATED_AT + 5.6}
        early = make_caller(
            sent_first_at=TERMINATED_AT + 2.9,
            sent_last_at=TERMINATED_AT + 2.9,
            **cut,
        )
        self.check(judging.Verdict.AT_WORK, early, [arrival])
        late = make_caller(
            sent_first_at=TERMINATED_AT + 2.9,
            sent_last_at=TERMINATED_AT + 3.1,
            **cut,
        )
        self.check(judging.Verdict.LOST, late, [arrival])
        # The work ended before the last sixth of the grace period.
        ended = make_arrival(TERMINATED_AT + 2.9, TERMINATED_AT + 4.9)
        self.check(judging.Verdict.LOST, early, [ended])

    # A second signal would otherwise excuse requests of another three seconds.
    def test_repeated_signal_starts_no_new_grace_period(self):
        # 2.9 s after the second SIGTERM, but 3.1 s after the first.
        timeline = make_timeline(
            terminated_at=[TERMINATED_AT, TERMINATED_AT + 0.2]
        )
        caller = make_caller(
            sent_first_at=TERMINATED_AT + 3.1,
            sent_last_at=TERMINATED_AT + 3.1,
            ended_at=TERMINATED_AT + 5.6,
        )
        arrival = make_arrival(TERMINATED_AT + 3.2)
        self.check(judging.Verdict.LOST, caller, [arrival], timeline)

    # An excuse without end would hide all losses after the first freeze.
    def test_freeze_excuses_for_the_contact_time_only(self):
        arrival = make_arrival(TERMINATED_AT + 1.6)
        recent = make_timeline(
            impaired=[(TERMINATED_AT - 2.0, TERMINATED_AT - 1.4)]
        )
        self.check(judging.Verdict.IMPAIRED, make_caller(), [arrival], recent)
        past = make_timeline(
            impaired=[(TERMINATED_AT - 2.0, TERMINATED_AT - 1.6)]
        )
        self.check(judging.Verdict.LOST, make_caller(), [arrival], past)

    # Reloads must not make requests lose their answers either.
    def test_reload_counts_for_requests_around_it(self):
        arrival = make_arrival(TERMINATED_AT + 1.6)
        recent = make_timeline(
            terminated_at=[], reloaded_at=[TERMINATED_AT - 0.4]
        )
        self.check(judging.Verdict.LOST, make_caller(), [arrival], recent)
        past = make_timeline(
            terminated_at=[], reloaded_at=[TERMINATED_AT - 0.6]
        )
        self.check(judging.Verdict.CUT, make_caller(), [arrival], past)

    # Without planned work, three cuts are allowed.
    def test_cuts_without_planned_work_count_from_the_fourth_on(self):
        timeline = make_timeline(terminated_at=[])
        for count, broken_count in ((3, 0), (4, 4)):
            callers = [make_caller(request_id=f"r{n}") for n in range(count)]
            arrivals = [
                dataclasses.replace(
                    make_arrival(TERMINATED_AT + 1.6), request_id=f"r{n}"
                )
                for n in range(count)
            ]
            judged = judging.judge_run(callers, arrivals, [timeline], BOUNDS)
            self.assertEqual(len(judging.find_broken(judged)), broken_count)

    # The times of caller and server must be comparable in one line.
    def test_finding_shows_both_sides_relative_to_the_signal(self):
        arrival = make_arrival(TERMINATED_AT + 1.6, TERMINATED_AT + 1.9)
        (judged,) = judging.judge_run(
            [make_caller()], [arrival], [make_timeline()], BOUNDS
        )
        self.assertEqual(
            judging.describe(judged),
            "lost: r venue gateway=0 connection=1 ahead=0 sent 1.500..1.500"
            " end 2.000 closed status=0 bytes=0;"
            " i-1 arrived 1.600 ran 1.600..1.900",
        )


class RunResultTest(unittest.TestCase):
    # The tests of stops look at what is broken and at crashes only.
    def test_answer_of_another_request_breaks_a_run(self):
        caller = make_caller(
            ending=records.Ending.WHOLE, is_stamped=True, foreign_id="other"
        )
        judged = judging.Judged(
            caller, (), judging.Verdict.ANSWERED, TERMINATED_AT
        )
        plan = scenarios.draw("continuous", 1)
        result = rig.RunResult(plan, (judged,), (), ())
        self.assertEqual(result.broken, [judged])
        self.assertFalse(result.is_passed)


class PlanTest(unittest.TestCase):
    # A finding could not be played again.
    def test_seed_determines_the_plan(self):
        for name in scenarios.SCENARIOS:
            self.assertEqual(scenarios.draw(name, 7), scenarios.draw(name, 7))
            self.assertNotEqual(
                scenarios.draw(name, 7).callers, scenarios.draw(name, 8).callers
            )


class StopTest(unittest.TestCase):
    maxDiff = None

    @classmethod
    def setUpClass(cls):
        directory = tempfile.TemporaryDirectory()
        cls.addClassCleanup(directory.cleanup)
        cls.directory = pathlib.Path(directory.name)
        asyncio.run(rig.build(cls.directory / "build"))

    def check(self, name, seed):
        log_directory = self.directory / f"{name}-{seed}"
        log_directory.mkdir()
        result = asyncio.run(
            rig.run(
                scenarios.draw(name, seed),
                self.directory / "build",
                log_directory,
            )
        )
        answered = [
            each
            for each in result.judged
            if each.verdict is judging.Verdict.ANSWERED
        ]
        findings = [judging.describe(each) for each in result.broken]
        self.assertEqual(result.crashes, [])
        self.assertEqual(findings, [])
        self.assertTrue(answered, "no request was answered")

    # A caller with a request always under way kept its connection until the
    # process ended, and lost the requests then in progress.
    def test_continuous_caller_loses_no_answer(self):
        self.check("continuous", 1)

    # An answer was chosen as the last one while it waited for an earlier one;
    # requests that came meanwhile were passed on and cut.
    def test_request_behind_a_finished_one_is_answered(self):
        self.check("early-close", 1)

    # A closed connection was reset a second after its last answer was written.
    def test_closing_answer_is_read_slowly(self):
        self.check("read-past-linger", 1)

    # The process ended while written answers had not reached their callers.
    def test_exit_waits_for_written_answers(self):
        self.check("read-past-exit", 1)

    # A connection was reset while its caller sent further requests, so that
    # answers in the buffers of the kernel were discarded.
    def test_caller_that_goes_on_sending_reads_its_answers(self):
        self.check("unread-answers", 1)

    # Requests of connections from after the balancer's delay were cut when the
    # process ended.
    def test_connections_after_the_balancer_delay_lose_no_answer(self):
        self.check("new-connections", 1)

    # SIGHUP ended a process that listened and had not imported the rest.
    def test_reload_while_starting_does_not_end_the_process(self):
        self.check("reload-while-starting", 2)

    # A stop must not cut callers that wait for answers and heed the balancer.
    def test_waiting_callers_lose_no_answer(self):
        self.check("steady", 1)

    # The process ended before the work of requests from before the delay.
    def test_long_work_is_answered(self):
        self.check("long-work", 1)


if __name__ == "__main__":
    unittest.main()
