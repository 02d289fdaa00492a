"""Scenarios of servers that never answer some requests."""

from hyssopwind.core import registry
from hyssopwind.standins.partitions import scenarios

SCENARIOS: scenarios.Scenarios = registry.Registry("hang scenario")

HANG_STARTS_AT = 3.0
HANG_ENDS_AT = 8.0
BURST_STARTS_AT = 4.0
BURST_ENDS_AT = 9.0
SERVERS_PER_SERVICE = 6


@SCENARIOS.register("quiet")
def make_quiet() -> scenarios.Scenario:
    """Returns a scenario in which all requests fit."""
    return scenarios.Scenario(hangs_when_full=True)


@SCENARIOS.register("herd")
def make_herd() -> scenarios.Scenario:
    """Returns a scenario with herds that the queues of a service can hold."""
    return scenarios.Scenario(
        hangs_when_full=True,
        rate=12.0,
        herd=scenarios.Herd(size=24, period_seconds=1.5),
    )


@SCENARIOS.register("burst")
def make_burst() -> scenarios.Scenario:
    """Returns a scenario with 2.4 times the requests that servers can run."""
    return scenarios.Scenario(
        hangs_when_full=True,
        bursts=(scenarios.Burst(BURST_STARTS_AT, BURST_ENDS_AT, 7.0),),
    )


@SCENARIOS.register("one server hangs")
def make_one_server_hangs() -> scenarios.Scenario:
    """Returns a scenario in which one of six servers hangs for some time."""
    return scenarios.Scenario(
        hangs=(scenarios.HangPeriod(HANG_STARTS_AT, HANG_ENDS_AT, 1),)
    )


@SCENARIOS.register("all servers hang")
def make_all_servers_hang() -> scenarios.Scenario:
    """Returns a scenario in which a whole service hangs for some time."""
    return scenarios.Scenario(
        hangs=(
            scenarios.HangPeriod(
                HANG_STARTS_AT, HANG_ENDS_AT, SERVERS_PER_SERVICE
            ),
        )
    )
