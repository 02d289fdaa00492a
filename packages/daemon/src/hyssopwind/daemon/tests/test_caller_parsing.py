import time
import unittest

from hyssopwind.core import outcomes
from hyssopwind.core.routing import tables
from hyssopwind.daemon.gateway import caller_parsing

HEAD = b"POST /a HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LIMITS = tables.CallerLimits(max_header_bytes=16_384, max_body_bytes=100_000)
NO_ROUTE = outcomes.NotRun(outcomes.Reason.NO_ROUTE, "")


class ReaderTestCase(unittest.TestCase):
    def feed(self, data, judge_head=caller_parsing.accept_head):
        """Feeds data as a connection does; returns the reader and requests."""
        reader = caller_parsing.RequestReader(judge_head)
        read = []
        while data and reader.failure is None:
            size = reader.slice_bytes
            read += reader.feed(data[:size], LIMITS)
            data = data[size:]
        return reader, read

    def check_refused(self, data, reason):
        reader, read = self.feed(data)
        self.assertEqual(read, [])
        self.assertIs(reader.failure.reason, reason)


class EarlyOutcomeTest(ReaderTestCase):
    def test_body_of_a_judged_request_is_discarded(self):
        """Bodies without a route were held until they were whole."""
        head = HEAD + b"Content-Length: 90000\r\n\r\n"
        reader, read = self.feed(head + bytes(89_997), lambda _: NO_ROUTE)
        self.assertEqual([each.outcome for each in read], [NO_ROUTE])
        self.assertTrue(reader.is_discarding)
        self.assertLess(reader.held_bytes, 2_000)
        reader.feed(bytes(3) + b"GET /b HTTP/1.1\r\n\r\n", LIMITS)
        self.assertTrue(reader.is_between_requests)

    def test_request_behind_a_discarded_body_is_read(self):
        data = CHUNKED + b"3\r\nabc\r\n0\r\n\r\nGET /b HTTP/1.1\r\n\r\n"
        _, read = self.feed(data, lambda _: NO_ROUTE)
        self.assertEqual([each.request.target for each in read], ["/a", "/b"])

    def test_caller_that_waits_to_send_its_body_ends_with_the_answer(self):
        """Its next request would be read as the body."""
        head = HEAD + b"Content-Length: 5\r\nExpect: 100-continue\r\n\r\n"
        reader, read = self.feed(head, lambda _: NO_ROUTE)
        self.assertTrue(read[0].request.closes_connection)
        self.assertFalse(reader.expects_continue)

    def test_declared_length_over_the_limit_is_refused_by_the_head(self):
        head = HEAD + b"Content-Length: 100001\r\n\r\n"
        self.check_refused(head, outcomes.Reason.REQUEST_TOO_LARGE)


class ChunkTest(ReaderTestCase):
    def test_long_trailer_is_refused(self):
        """The parser collects a trailer of any length."""
        data = CHUNKED + b"1\r\nx\r\n0\r\nX: " + b"y" * 60_000
        self.check_refused(data, outcomes.Reason.HEADER_TOO_LARGE)

    def test_long_chunk_extension_is_refused(self):
        data = CHUNKED + b"1;" + b"y" * 60_000
        self.check_refused(data, outcomes.Reason.HEADER_TOO_LARGE)

    def test_many_trailers_are_refused(self):
        data = CHUNKED + b"0\r\n" + b"a:b\r\n" * 10_000
        self.check_refused(data, outcomes.Reason.HEADER_TOO_LARGE)

    def test_tiny_chunks_of_a_legal_body_are_read_in_bounded_work(self):
        data = CHUNKED + b"1\r\nx\r\n" * 60_000 + b"0\r\n\r\n"
        reader, read = self.feed(data)
        self.assertIsNone(reader.failure)
        self.assertEqual(len(read[0].request.body), 60_000)

    # A field behind the body could replace what the head was judged by.
    def test_trailer_is_no_field_of_the_request(self):
        data = CHUNKED + b"1\r\nx\r\n0\r\nRequest-Id: other\r\n\r\n"
        _, read = self.feed(data)
        self.assertNotIn("Request-Id", read[0].request.fields)


class CostTest(ReaderTestCase):
    def test_short_fields_cost_more_than_their_bytes(self):
        data = b"GET /a HTTP/1.1\r\n" + b"a:b\r\n" * 2_200 + b"\r\n"
        _, read = self.feed(data)
        self.assertGreater(read[0].cost, 2_200 * 200)

    def test_body_is_reserved_with_its_copies_before_it_is_read(self):
        head = HEAD + b"Content-Length: 90000\r\n\r\n"
        reader, _ = self.feed(head)
        self.assertLess(reader.held_bytes, 3_000)
        self.assertGreater(reader.wanted_bytes, 3 * 90_000)

    def test_work_of_a_slice_is_bounded(self):
        for start, piece in (
            (b"", b"GET / HTTP/1.1\r\n\r\n"),
            (CHUNKED, b"1\r\nx\r\n"),
        ):
            reader, _ = self.feed(start)
            data = piece * (reader.slice_bytes // len(piece))
            started_at = time.process_time()
            reader.feed(data, LIMITS)
            self.assertLess(time.process_time() - started_at, 0.1)
