"""Stand-in server with slots, cold start, shedding and cached load reports."""

import argparse
import asyncio
import collections
import dataclasses
import enum
import os
import random
import secrets
import time

from aiohttp import web

START_HEADER = "Server-Start"
SHED_HEADER = "Server-Shed"
ATTEMPT_HEADER = "Hyssopwind-Attempt"
NOT_AFTER_HEADER = "X-Request-Not-After"
# Work time of a request in seconds, instead of a random one.
WORK_SECONDS_HEADER = "X-Work-Seconds"
# Bytes that are added to the body of the answer.
PADDING_HEADER = "X-Answer-Padding"
KEY_HEADERS = ("Idempotency-Key", "Hyssopwind-Ticket")
# A load report is cached for this time, so that daemons also get aged reports.
LOAD_REPORT_REFRESH_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class ServerOptions:
    """Behaviour of a stand-in server.

    Attributes:
        port: port on the loopback address.
        slots: requests that run at the same time.
        queue: requests that may wait for a slot; further ones are shed.
        mean_work: mean of the exponential work time, in seconds.
        cold_requests: completed requests after which a server is warm.
        cold_factor: factor on the work time while the server is cold.
        seed: seed of the random work times.
        journal: file that gets a line for each execution of a key, so that
            the counts survive the process; none is written if empty.
    """

    port: int
    slots: int = 4
    queue: int = 16
    mean_work: float = 0.002
    cold_requests: int = 0
    cold_factor: float = 5.0
    seed: int = 1
    journal: str = ""


class ServerState(enum.Enum):
    """Whether the server accepts requests."""

    SERVING = "serving"
    DRAINING = "draining"


class StandInServer:
    """Answers requests as a customer's server does."""

    def __init__(self, options: ServerOptions):
        self._options = options
        self._random = random.Random(options.seed)
        self._slots = asyncio.Semaphore(options.slots)
        self._start_id = secrets.token_hex(6)
        self._state = ServerState.SERVING
        self._completed_count = 0
        self._in_flight_count = 0
        self._max_in_flight = 0
        self._max_cold_in_flight = 0
        self._probe_count = 0
        self._slow_factor = 1.0
        self._executions: collections.Counter[str] = collections.Counter()
        self._load_report = self._make_load_report()
        self._report_time = time.monotonic()

    @property
    def is_cold(self) -> bool:
        """Whether the server is still warming up."""
        return self._completed_count < self._options.cold_requests

    def make_application(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(client_max_size=4_000_000)
        app.router.add_get("/load", self._handle_load)
        app.router.add_get("/control/audit", self._handle_audit)
        app.router.add_post("/control/set", self._handle_set)
        app.router.add_route("*", "/{path:.*}", self._handle_request)
        return app

    def _make_headers(self) -> dict[str, str]:
        return {START_HEADER: self._start_id}

    async def _handle_request(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        if request.headers.get("X-Crash-Server"):
            os._exit(70)
        answer = await self._answer(request, body)
        token = request.headers.get(ATTEMPT_HEADER)
        if token is not None:
            answer.headers[ATTEMPT_HEADER] = token
        return answer

    async def _answer(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        reason = self._find_refusal_reason(request)
        if reason is not None:
            return self._make_refusal(reason)
        self._in_flight_count += 1
        self._max_in_flight = max(self._max_in_flight, self._in_flight_count)
        if self.is_cold:
            self._max_cold_in_flight = max(
                self._max_cold_in_flight, self._in_flight_count
            )
        try:
            async with self._slots:
                return await self._execute(request, body)
        finally:
            self._in_flight_count -= 1

    def _find_refusal_reason(self, request: web.Request) -> str | None:
        if self._state is ServerState.DRAINING:
            return "draining"
        if self._in_flight_count >= self._options.slots + self._options.queue:
            return "overloaded"
        not_after = request.headers.get(NOT_AFTER_HEADER)
        if not_after and time.time() * 1000 > float(not_after):
            return "late"
        return None

    def _make_refusal(self, reason: str) -> web.Response:
        headers = {
            **self._make_headers(),
            SHED_HEADER: reason,
            "Retry-After": "1",
        }
        return web.Response(status=503, headers=headers, text=reason)

    async def _execute(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        for header in KEY_HEADERS:
            key = request.headers.get(header)
            if key and request.method in ("POST", "PATCH"):
                self._executions[key] += 1
                self._write_journal(key)
        work_seconds = self._random.expovariate(1 / self._options.mean_work)
        factor = self._options.cold_factor if self.is_cold else 1.0
        work_seconds *= factor * self._slow_factor
        if WORK_SECONDS_HEADER in request.headers:
            work_seconds = float(request.headers[WORK_SECONDS_HEADER])
        await asyncio.sleep(work_seconds)
        self._completed_count += 1
        request_text = (
            f"{request.method} {request.path_qs} {len(body)} ".encode()
        )
        echo = request.headers.get("X-Echo", "").encode()
        padding = b"p" * int(request.headers.get(PADDING_HEADER, "0"))
        headers = {
            **self._make_headers(),
            "X-Served-By": str(self._options.port),
        }
        return web.Response(
            body=request_text + echo + body + padding, headers=headers
        )

    def _write_journal(self, key: str) -> None:
        if not self._options.journal:
            return
        with open(self._options.journal, "a", encoding="utf-8") as journal:
            journal.write(key + "\n")

    def _make_load_report(self) -> dict[str, object]:
        return {
            "start": self._start_id,
            "cold": self.is_cold,
            "draining": self._state is ServerState.DRAINING,
            "in_flight": self._in_flight_count,
        }

    async def _handle_load(self, request: web.Request) -> web.StreamResponse:
        self._probe_count += 1
        now = time.monotonic()
        if now - self._report_time > LOAD_REPORT_REFRESH_SECONDS:
            self._load_report = self._make_load_report()
            self._report_time = now
        age_ms = int((now - self._report_time) * 1000)
        return web.json_response(
            {**self._load_report, "age_ms": age_ms},
            headers=self._make_headers(),
        )

    async def _handle_audit(self, request: web.Request) -> web.StreamResponse:
        return web.json_response(
            {
                "executions": dict(self._executions),
                "completed": self._completed_count,
                "peak": self._max_in_flight,
                "peak_cold": self._max_cold_in_flight,
                "probes": self._probe_count,
                "start": self._start_id,
            }
        )

    async def _handle_set(self, request: web.Request) -> web.StreamResponse:
        change = await request.json()
        if "slow_factor" in change:
            self._slow_factor = float(change["slow_factor"])
        if "state" in change:
            self._state = ServerState(change["state"])
        if change.get("turn_cold"):
            self._start_id = secrets.token_hex(6)
            self._completed_count = 0
            self._max_cold_in_flight = 0
        return web.json_response({})


def main() -> None:
    """Runs the server until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    for field in dataclasses.fields(ServerOptions):
        parse = field.type if callable(field.type) else float
        parser.add_argument(
            f"--{field.name.replace('_', '-')}",
            type=parse,
            default=argparse.SUPPRESS,
        )
    options = ServerOptions(**vars(parser.parse_args()))
    asyncio.run(_serve(options))


async def _serve(options: ServerOptions) -> None:
    server = StandInServer(options)
    runner = web.AppRunner(server.make_application(), shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", options.port).start()
    await asyncio.Event().wait()


if __name__ == "__main__":
    main()
