"""Finds the route of a request by its host and the longest path prefix."""

from hyssopwind.core.routing import tables


def normalize_host(host: str) -> str:
    """Returns a host in lower case and without its port.

    Examples:
        >>> normalize_host("Rolls.Example:8080")
        'rolls.example'
        >>> normalize_host("[::1]:80")
        '[::1]'
    """
    host = host.strip().lower()
    name, separator, port = host.rpartition(":")
    if separator and port.isdigit():
        return name
    return host


class RouteIndex:
    """The routes of one configuration, indexed by host and path prefix.

    Examples:
        >>> def route(name, prefix):
        ...     return tables.Route(
        ...         name, "a.example", prefix, True, 1.0, 0.5, 0, 2, ()
        ...     )
        >>> index = RouteIndex((route("all", "/"), route("one", "/one/")))
        >>> index.find("a.example:80", "/one/two").name
        'one'
        >>> index.find("a.example", "/one").name
        'all'
        >>> index.find("b.example", "/one/two") is None
        True
    """

    def __init__(self, routes: tuple[tables.Route, ...]):
        self._by_host: dict[str, dict[str, tables.Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> tables.Route | None:
        """Returns the route with the longest prefix of `path`, if any."""
        prefixes = self._by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
