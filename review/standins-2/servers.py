"""Stand-in of the servers of one service: several servers in one process.

Usage: servers.py OPTIONS, a JSON object with `servers` (a list of objects with
`id` and `address`), `service`, `slots`, `queue`, `work_s`, `answer_bytes` and
`log`, the path of a file that gets one JSON line for each request that runs.
The first `faulty_count` servers lose the answers of a share `fail_ratio` of the
requests that they run, and reset the connections, while the file `switch`
exists.

Each server follows PROTOCOL.md: it runs `slots` requests at a time, queues
`queue` more and refuses others with 503 and `Not-Executed`, echoes
`Request-Id`, answers 421 if another instance is expected, and states its load.
It always reads what it is sent, and stops work at the deadline or when the
connection closes.
"""

import asyncio
import hashlib
import json
import os
import random
import signal
import sys
import time


class Server:
    """One server."""

    def __init__(self, server_id, options, log, *, is_faulty):
        self.id = server_id
        self._fail_ratio = options["fail_ratio"] if is_faulty else 0.0
        self._random = random.Random(server_id)
        self._options = options
        self._log = log
        self._running = 0
        self._waiting = 0
        self._slots = asyncio.Semaphore(options["slots"])
        self._body = b"x" * options["answer_bytes"]

    async def serve(self, reader, writer):
        """Serves the requests on one connection."""
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _load(self):
        slots = self._options["slots"]
        return f"{self._running},{self._waiting},{slots},100"

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        method, target, _ = first.split(" ")
        fields = {}
        for line in lines:
            name, _, value = line.partition(":")
            fields[name.lower()] = value.strip()
        length = int(fields.get("content-length", "0"))
        digest = hashlib.sha1()
        received = 0
        while received < length:
            piece = await reader.read(min(1 << 18, length - received))
            if not piece:
                return False
            digest.update(piece)
            received += len(piece)
        if target == "/health":
            self._answer(writer, 200, {"Instance-Id": self.id})
            return True
        request_id = fields.get("request-id", "")
        echo = {"Request-Id": request_id}
        if not request_id:
            self._answer(writer, 400, {"Not-Executed": "1"})
            return True
        if fields.get("expect-instance", self.id) != self.id:
            self._answer(writer, 421, {**echo, "Instance-Id": self.id})
            return True
        slots, queue = self._options["slots"], self._options["queue"]
        if self._running + self._waiting >= slots + queue:
            self._answer(writer, 503, {**echo, "Not-Executed": "1"})
            return True
        deadline_s = float(fields.get("deadline-ms", "10000")) / 1000
        self._waiting += 1
        try:
            await asyncio.wait_for(self._slots.acquire(), deadline_s)
        except TimeoutError:
            self._answer(writer, 503, {**echo, "Not-Executed": "1"})
            return True
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            record = {
                "t": time.monotonic(),
                "server": self.id,
                "request": request_id,
                "method": method,
                "target": target[:80],
                "body_bytes": received,
                "body_sha1": digest.hexdigest(),
            }
            self._log.write(json.dumps(record) + "\n")
            self._log.flush()
            await asyncio.sleep(min(self._options["work_s"], deadline_s))
        finally:
            self._running -= 1
            self._slots.release()
        is_lost = self._random.random() < self._fail_ratio
        if is_lost and os.path.exists(self._options["switch"]):
            writer.transport.abort()
            return False
        if self._options["work_s"] > deadline_s:
            self._answer(writer, 504, {**echo, "Server-Stamp": self._stamp()})
            return True
        self._answer(
            writer, 200, {**echo, "Server-Stamp": self._stamp()}, self._body
        )
        await writer.drain()
        return True

    def _stamp(self):
        return f"{self.id}.{time.monotonic():.6f}"

    def _answer(self, writer, status, fields, body=b""):
        fields = {
            **fields,
            "Server-Load": self._load(),
            "Keep-Alive": "timeout=10",
            "Content-Length": str(len(body)),
        }
        lines = [f"HTTP/1.1 {status} Status"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join([*lines, "\r\n"]).encode() + body)


async def main():
    """Serves until SIGTERM."""
    options = json.loads(sys.argv[1])
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    with open(options["log"], "w", encoding="utf-8") as log:
        for number, each in enumerate(options["servers"]):
            host, _, port = each["address"].rpartition(":")
            server = Server(
                each["id"], options, log,
                is_faulty=number < options["faulty_count"],
            )
            await asyncio.start_server(
                server.serve, host, int(port), limit=1 << 20, backlog=1024
            )
        await stopped.wait()


asyncio.run(main())
