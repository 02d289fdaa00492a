"""Priorities of requests."""

from typing import NewType

# 0 is the most urgent.
Priority = NewType("Priority", int)


def effective_priority(
    route_priority: int, tenant_priority: int | None = None
) -> Priority:
    """Returns the priority of a request.

    Args:
        route_priority: priority of its route; 0 is the most urgent.
        tenant_priority: priority of its tenant, which takes precedence; `None`
            if the tenant has none or there is no tenant.

    Examples:
        >>> effective_priority(2), effective_priority(2, 0)
        (2, 0)
    """
    if tenant_priority is None:
        return Priority(route_priority)
    return Priority(tenant_priority)


# Priorities from this one on share a label, which bounds the number of labels.
FIRST_SHARED_LABEL = 3


def label(priority: Priority) -> str:
    """Returns the label of a priority in metrics.

    Examples:
        >>> label(Priority(1)), label(Priority(3)), label(Priority(70))
        ('1', '3+', '3+')
    """
    if priority >= FIRST_SHARED_LABEL:
        return f"{FIRST_SHARED_LABEL}+"
    return str(max(0, priority))
