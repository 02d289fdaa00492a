"""Identifiers of teams, services, servers and other entities.

Each identifier is a `NewType` over `str`, so that the type checker rejects
one kind where another is expected, at no cost at run time.
"""

from typing import NewType

TeamId = NewType("TeamId", str)
ServiceId = NewType("ServiceId", str)
DataCentreId = NewType("DataCentreId", str)
ServerId = NewType("ServerId", str)
# Identifies one start of a server: its identifier and its start time.
InstanceId = NewType("InstanceId", str)
DaemonId = NewType("DaemonId", str)
# Identifies one start of a daemon or server, so a restart is recognised.
StartId = NewType("StartId", str)
PoolId = NewType("PoolId", str)
# A tenant is a customer of the platform; its name is unique.
TenantId = NewType("TenantId", str)
# SHA-256 of an API key, as hexadecimal digits.
KeyDigest = NewType("KeyDigest", str)
# Hash of the method, the target and the body of a request.
Fingerprint = NewType("Fingerprint", str)


def service_id(team: TeamId, name: str) -> ServiceId:
    """Returns the identifier of a service of a team.

    Examples:
        >>> service_id(TeamId("studio"), "trial-looks")
        'studio/trial-looks'
    """
    return ServiceId(f"{team}/{name}")


def instance_id(server: ServerId, started_at_ms: int) -> InstanceId:
    """Returns the identifier of a start of a server.

    Examples:
        >>> instance_id(ServerId("i-1"), 1700000000000)
        'i-1@1700000000000'
    """
    return InstanceId(f"{server}@{started_at_ms}")


def pool_id(service: ServiceId, data_centre: DataCentreId) -> PoolId:
    """Returns the identifier of a pool.

    The pool of a service in a data centre consists of its servers there.

    Examples:
        >>> pool_id(ServiceId("studio/trial-looks"), DataCentreId("chicago"))
        'studio/trial-looks@chicago'
    """
    return PoolId(f"{service}@{data_centre}")


def pool_service(pool: PoolId) -> ServiceId:
    """Returns the service part of a pool identifier.

    Examples:
        >>> pool_service(PoolId("studio/trial-looks@chicago"))
        'studio/trial-looks'
    """
    return ServiceId(pool.rpartition("@")[0])


def pool_data_centre(pool: PoolId) -> DataCentreId:
    """Returns the data centre part of a pool identifier.

    Examples:
        >>> pool_data_centre(PoolId("studio/trial-looks@chicago"))
        'chicago'
    """
    return DataCentreId(pool.rpartition("@")[2])
