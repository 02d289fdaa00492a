"""Daemons in virtual time that acquire tokens from each other."""

import bisect
import collections
import heapq
import itertools
import random

from hyssopwind.core import ids
from hyssopwind.core.fleet import gossip_messages
from hyssopwind.core.tenants import allowance_issuer
from hyssopwind.core.tenants import allowance_results
from hyssopwind.core.tenants import allowances

LISTED_SECONDS = 3.0  # for which a dead daemon stays in member lists


def make_allowance(tenant="t", rate=40.0, burst=20.0, version=1):
    return allowance_issuer.Allowance(
        ids.TenantId(tenant), rate, burst, version
    )


class SimulatedDaemon:
    """One start of a daemon."""

    def __init__(self, fleet, name, centre, started_at):
        self.fleet = fleet
        self.name = name
        self.centre = centre
        self.started_at = started_at
        self.is_alive = True
        self.timer_at = None
        self.configuration = dict(fleet.configuration)
        # Clocks of daemons differ.
        self.offset = fleet.random.uniform(0.0, 1e6)
        self.node = allowances.Allowances(
            name,
            centre,
            fleet.quota,
            self.clock(),
            self.send,
            self.record,
            self.configuration.get,
            fleet.random,
        )
        fleet.call_at(
            fleet.now + fleet.random.uniform(0.0, 0.5), self.run_round
        )

    def clock(self):
        return self.fleet.now + self.offset

    def send(self, message, receiver):
        self.fleet.transmit(self, message, receiver)

    def record(self, ticket, result):
        tenant, requested_at, on_result = ticket
        fleet = self.fleet
        if isinstance(result, allowance_results.Granted):
            fleet.granted.setdefault(tenant, []).append(fleet.now)
        else:
            fleet.denied.append((fleet.now, tenant, result))
        fleet.waits.append(fleet.now - requested_at)
        on_result(self, result)

    def request(self, tenant, on_result=lambda daemon, result: None):
        if not self.is_alive:
            return
        allowance = self.configuration[ids.TenantId(tenant)]
        self.node.request(
            allowance, (tenant, self.fleet.now, on_result), self.clock()
        )
        self.set_timer()

    def release(self, result):
        """Returns a token of a request that no server has run."""
        if self.is_alive:
            self.node.release(result, self.clock())
            self.set_timer()

    def receive(self, data):
        if self.is_alive:
            self.node.handle(gossip_messages.decode(data), self.clock())
            self.set_timer()

    def run_round(self):
        if not self.is_alive:
            return
        self.node.set_view(self.fleet.view_of(self))
        self.node.run_round(self.clock())
        self.set_timer()
        self.fleet.call_at(self.fleet.now + 0.5, self.run_round)

    def run_timers(self):
        self.timer_at = None
        if self.is_alive:
            self.node.run_timers(self.clock())
            self.set_timer()

    def set_timer(self):
        due_at = self.node.next_timer_at
        if due_at is None:
            return
        due_at -= self.offset
        if self.timer_at is None or due_at < self.timer_at:
            self.timer_at = due_at
            self.fleet.call_at(due_at + 1e-6, self.run_timers)


class SimulatedFleet:
    """A fleet in several data centres; times are seconds from the start."""

    def __init__(
        self,
        counts,
        allowance_list,
        seed=1,
        delay=lambda random_source, now: 0.001,
        loss_ratio=0.0,
        duplicate_ratio=0.0,
        is_reachable=None,
        quota=None,
        started_at=-4.0,
    ):
        self.random = random.Random(seed)
        self.quota = quota or allowance_issuer.QuotaSettings()
        self.configuration = {each.tenant: each for each in allowance_list}
        self.now = started_at
        self.delay = delay
        self.loss_ratio = loss_ratio
        self.duplicate_ratio = duplicate_ratio
        self.is_reachable = is_reachable
        self.granted = {}
        self.denied = []
        self.waits = []
        self.returned_count = 0
        self.message_count = 0
        self.byte_count = 0
        self.bytes_by_daemon = {}
        self.sent_to = collections.Counter()
        self._events = []
        self._sequence = itertools.count()
        self._died_at = {}
        self._view = None
        self.daemons = {}
        centre_of = {}
        for centre_number, count in enumerate(counts):
            for number in range(count):
                name = ids.DaemonId(f"d{centre_number}-{number}")
                centre_of[name] = ids.DataCentreId(f"c{centre_number}")
        self.centre_of = centre_of
        for name in centre_of:
            self.start(name)

    @property
    def names(self):
        return list(self.centre_of)

    def call_at(self, when, act):
        heapq.heappush(self._events, (when, next(self._sequence), act))

    def run_until(self, end):
        while self._events and self._events[0][0] <= end:
            when, _, act = heapq.heappop(self._events)
            self.now = max(self.now, when)
            act()
        self.now = end

    def start(self, name):
        self._view = None
        self._died_at.pop(name, None)
        self.daemons[name] = SimulatedDaemon(
            self, name, self.centre_of[name], self.now
        )

    def kill(self, name):
        self._view = None
        self.daemons[name].is_alive = False
        self._died_at[name] = self.now

    def owner(self, centre):
        return next(
            name
            for name, daemon in self.daemons.items()
            if daemon.centre == centre
            and daemon.is_alive
            and daemon.node.share_ratio(daemon.clock()) > 0.0
        )

    def configure(self, allowance, names=None):
        for name in names or self.names:
            self.daemons[name].configuration[allowance.tenant] = allowance

    def view_of(self, daemon):
        if self.is_reachable is None and not self._died_at:
            if self._view is None:
                self._view = allowances.make_fleet_view(
                    len(self.centre_of), self.centre_of.items()
                )
            return self._view
        return allowances.make_fleet_view(
            len(self.centre_of),
            [
                (name, centre)
                for name, centre in self.centre_of.items()
                if name == daemon.name or self._is_listed(daemon.name, name)
            ],
        )

    def _is_listed(self, observer, name):
        if self.now >= self._died_at.get(name, self.now) + LISTED_SECONDS:
            return False
        return self.is_reachable is None or (
            self.is_reachable(observer, name, self.now)
            or self.is_reachable(observer, name, self.now - LISTED_SECONDS)
        )

    def transmit(self, sender, message, receiver):
        data = gossip_messages.encode(message)
        self.message_count += 1
        self.sent_to[receiver] += 1
        self.byte_count += len(data)
        self.bytes_by_daemon[sender.name] = self.bytes_by_daemon.get(
            sender.name, 0
        ) + len(data)
        if self.random.random() < self.loss_ratio:
            return
        if self.is_reachable is not None and not self.is_reachable(
            sender.name, receiver, self.now
        ):
            return
        copies = 1 + (self.random.random() < self.duplicate_ratio)
        for _ in range(copies):
            self.call_at(
                self.now + self.delay(self.random, self.now),
                lambda: self.daemons[receiver].receive(data),
            )

    def demand(self, tenant, rate, names, start, end):
        """Requests at random times, each at a random one of some daemons."""
        when = start
        times = []
        while (when := when + self.random.expovariate(rate)) < end:
            times.append(when)
            name = self.random.choice(names)
            self.call_at(
                when, lambda name=name: self.daemons[name].request(tenant)
            )
        return times

    def demand_with_returns(
        self, tenant, rate, names, start, end, return_ratio, longest_hold
    ):
        """Requests of which a part returns its token after some time.

        Returned tokens are not counted as granted.
        """

        def on_result(daemon, result):
            if not isinstance(result, allowance_results.Granted):
                return
            if self.random.random() >= return_ratio:
                return
            self.granted[tenant].pop()
            self.returned_count += 1
            self.call_at(
                self.now + self.random.uniform(0.0, longest_hold),
                lambda: daemon.release(result),
            )

        when = start
        while (when := when + self.random.expovariate(rate)) < end:
            name = self.random.choice(names)
            self.call_at(
                when,
                lambda name=name: self.daemons[name].request(tenant, on_result),
            )

    def granted_between(self, start, end, tenant="t"):
        times = self.granted.get(tenant, [])
        return bisect.bisect_left(times, end) - bisect.bisect_left(times, start)

    def most_in_a_window(self, tenant="t", start=float("-inf")):
        times = self.granted.get(tenant, [])
        window = self.quota.window_seconds
        most = 0
        for index in range(bisect.bisect_left(times, start), len(times)):
            end = bisect.bisect_right(times, times[index] + window)
            most = max(most, end - index)
        return most

    def bound(self, allowance):
        quota = self.quota
        total = (
            allowance.requests_per_second * quota.window_seconds
            + allowance.burst
        )
        return total * (1.0 + quota.overshoot) + quota.slack
