"""Hands requests to peers over HTTP, on the port for peers."""

import asyncio
import dataclasses
import random
from collections.abc import Callable
from collections.abc import Collection

import logbook
import msgspec

from hyssopwind.core import decoding
from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.attempts import attempt_results
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import fleet_members
from hyssopwind.core.fleet import handovers
from hyssopwind.core.fleet import peer_choice
from hyssopwind.core.routing import tables
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import gateway_metrics
from hyssopwind.platform import field_names
from hyssopwind.transport import answers
from hyssopwind.transport import boot_clock
from hyssopwind.transport import connection
from hyssopwind.transport import connection_pools

# Ratio of the memory of the process for answers of peers that are received.
ANSWERS_MEMORY_RATIO = 0.06
# The peer gives up this long before the daemon does, so that its statement
# whether the request has run still arrives.
PEER_MARGIN_SECONDS = 0.02
# Wait after the deadline for the answer to a request that nobody waits for.
LATE_ANSWER_GRACE_SECONDS = 0.3

_log = logbook.Logger("handover")


@dataclasses.dataclass(frozen=True, slots=True)
class Handed:
    """How the handover to one peer ended.

    Attributes:
        result: the result.
        outcome: outcome of the request; `None` if the peer stated none.
    """

    result: handovers.HandoverResult
    outcome: outcomes.Outcome | None = None


class HandoverClient:
    """Chooses peers for requests and hands the requests to them."""

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        member_list: fleet_members.MemberList,
        metrics: gateway_metrics.GatewayMetrics,
        random_source: random.Random,
    ):
        self._settings = gateway_settings
        self._member_list = member_list
        self._metrics = metrics
        self._random = random_source
        self._choice = peer_choice.PeerChoice(gateway_settings.data_centre)
        self._pool = connection_pools.ConnectionPool(
            int(ANSWERS_MEMORY_RATIO * gateway_settings.memory_bytes)
        )
        self._peers_port = gateway_settings.peers_address.rpartition(":")[2]
        self._number = random_source.getrandbits(32)

    def handle_notice(self, sender: ids.DaemonId, *, is_cut_off: bool) -> None:
        """Handles what a peer says about its way to the servers."""
        self._choice.record_cut_off(
            sender, boot_clock.now(), is_cut_off=is_cut_off
        )

    @property
    def cut_off_count(self) -> int:
        """Number of peers that are cut off from the servers."""
        return self._choice.cut_off_count(boot_clock.now())

    def choose_peer(
        self,
        request: caller_requests.CallerRequest,
        route: tables.Route,
        tried: Collection[ids.DaemonId],
    ) -> fleet_members.Peer | None:
        """Returns the peer that gets a request, or `None` if there is none."""
        peers = self._member_list.peers()
        if request.body:
            peers = [each for each in peers if self._may_get_body(each, route)]
        return self._choice.choose(peers, tried, self._random, boot_clock.now())

    async def hand_over(
        self,
        peer: fleet_members.Peer,
        request: caller_requests.CallerRequest,
        terms: handovers.Terms,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> Handed:
        """Sends a request to a peer and returns how that ended.

        Args:
            peer: the peer.
            request: the request of the caller.
            terms: its terms, without the sender, the number and the time left.
            deadline: monotonic time at which the caller or the route times out.
            may_send: whether the request may still be sent; called last.
        """
        started_at = boot_clock.now()
        self._choice.record_start(peer.name)
        try:
            handed = await self._exchange(
                peer, request, terms, deadline, may_send
            )
        finally:
            self._choice.record_end(peer.name)
        now = boot_clock.now()
        if handed.result is handovers.HandoverResult.CUT_OFF:
            self._choice.record_cut_off(peer.name, now)
        elif handed.result is handovers.HandoverResult.NOT_CONNECTED:
            self._choice.record_unconnected(peer.name, now)
        self._metrics.count_handover("sent", handed.result.value)
        _log.info(
            "handed to a peer",
            extra={
                "request": request.fields.get(field_names.REQUEST_ID, ""),
                "peer": peer.name,
                "ms": round((now - started_at) * 1000),
                "result": handed.result.value,
            },
        )
        return handed

    def retain_live_peers(self) -> None:
        """Closes the idle connections to peers that are gone."""
        self._pool.retain(
            {self._address(each) for each in self._member_list.peers()}
        )

    def stop(self) -> None:
        """Closes the idle connections to peers."""
        self._pool.close()

    def _may_get_body(
        self, peer: fleet_members.Peer, route: tables.Route
    ) -> bool:
        return handovers.may_receive_body(
            self._settings.regions.get(peer.data_centre, ""),
            self._settings.region,
            route.regions,
        )

    def _address(self, peer: fleet_members.Peer) -> str:
        return f"{peer.ip}:{self._peers_port}"

    async def _exchange(
        self,
        peer: fleet_members.Peer,
        request: caller_requests.CallerRequest,
        terms: handovers.Terms,
        deadline: float,
        may_send: Callable[[], bool],
    ) -> Handed:
        try:
            peer_connection = await self._pool.acquire(self._address(peer))
        except connection.ExchangeError:
            return Handed(handovers.HandoverResult.NOT_CONNECTED)
        if not may_send():
            self._pool.release(peer_connection)
            return Handed(handovers.HandoverResult.WITHHELD)
        remaining_seconds = deadline - boot_clock.now() - PEER_MARGIN_SECONDS
        self._number += 1
        number = self._number
        terms = msgspec.structs.replace(
            terms,
            sender=self._settings.name,
            number=number,
            remaining_ms=max(1, int(remaining_seconds * 1000)),
        )
        data = caller_requests.encode_request(
            request, ((headers.HANDOVER, handovers.encode(terms)),)
        )
        try:
            async with asyncio.timeout(
                max(0.0, remaining_seconds) + LATE_ANSWER_GRACE_SECONDS
            ):
                answer = await peer_connection.exchange(
                    data,
                    request.method,
                    lambda answer: _read_number(answer) in (number, None),
                )
        except connection.ExchangeError as error:
            if error.kind is attempt_results.FailureKind.NOT_CONNECTED:
                return Handed(handovers.HandoverResult.NOT_CONNECTED)
            return Handed(handovers.HandoverResult.BROKEN)
        except TimeoutError:
            return Handed(handovers.HandoverResult.BROKEN)
        if _read_result(answer) is None:
            peer_connection.abort()
        else:
            self._pool.release(peer_connection)
        return _judge(answer, request.method)


def _read_result(answer: answers.Answer) -> handovers.Result | None:
    results = answer.fields.getall(headers.HANDOVER, ())
    if len(results) != 1:
        return None
    try:
        return handovers.decode_result(results[0])
    except decoding.DecodeError:
        return None


def _read_number(answer: answers.Answer) -> int | None:
    result = _read_result(answer)
    return None if result is None else result.number


def _judge(answer: answers.Answer, method: str) -> Handed:
    """Returns how a handover ended that got an answer."""
    result = _read_result(answer)
    if result is None:
        # It does not say whether the request has run.
        return Handed(handovers.HandoverResult.BROKEN)
    if result.tag == outcomes.Answered.tag:
        fields = headers.end_to_end(answer.fields)
        if method == "HEAD" and "Content-Length" in answer.fields:
            fields["Content-Length"] = answer.fields["Content-Length"]
        return Handed(
            handovers.HandoverResult.ANSWERED,
            outcomes.Answered(
                answer.status, headers.to_pairs(fields), answer.body
            ),
        )
    failure = handovers.read_failure(result)
    if isinstance(failure, outcomes.Unknown):
        return Handed(handovers.HandoverResult.UNKNOWN, failure)
    if result.is_cut_off:
        return Handed(handovers.HandoverResult.CUT_OFF, failure)
    return Handed(handovers.HandoverResult.REFUSED, failure)
