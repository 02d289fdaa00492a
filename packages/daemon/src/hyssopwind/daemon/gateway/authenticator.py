"""Checks the keys of requests against the configuration in force."""

import dataclasses

import logbook

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.dispatch import priorities
from hyssopwind.core.dispatch import settings
from hyssopwind.core.fleet import handovers
from hyssopwind.core.requests import refusal_lines
from hyssopwind.core.routing import tables
from hyssopwind.core.tenants import authentication
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon import headers
from hyssopwind.daemon.gateway import caller_requests
from hyssopwind.daemon.gateway import gateway_metrics
from hyssopwind.daemon.gateway import replicated_state
from hyssopwind.platform import field_names
from hyssopwind.transport import boot_clock

_ACCEPTED_LABEL = "accepted"

_log = logbook.Logger("tenants")


@dataclasses.dataclass(slots=True)
class Admission:
    """A request that was accepted.

    Attributes:
        credentials: what it says of its tenant.
        accepted: the decision when it arrived.
        configuration: the latest configuration by which it was accepted.
        is_charged: whether the daemon that handed it over has charged the
            allowance of its tenant.
        sender_version: version of the configuration of that daemon, or 0.
    """

    credentials: authentication.Credentials
    accepted: authentication.Accepted
    configuration: tables.Configuration | None
    is_charged: bool = False
    sender_version: int = 0

    @property
    def tenant(self) -> tenant_table.Tenant | None:
        """The tenant of the request, if it has one."""
        return self.accepted.tenant

    def priority(self, route: tables.Route) -> priorities.Priority:
        """Returns the priority of the request on a route."""
        return priorities.effective_priority(
            route.priority,
            None if self.tenant is None else self.tenant.priority,
        )

    def prepare(
        self, request: caller_requests.CallerRequest
    ) -> caller_requests.CallerRequest:
        """Returns the request as servers and peers may receive it."""
        if not self.accepted.hides_key:
            return request
        fields = request.fields.copy()
        fields.popall(field_names.API_KEY, None)
        fields.popall(field_names.TENANT, None)
        if self.tenant is not None:
            # One character for each byte, as in the fields of callers.
            name = self.tenant.id.encode("utf-8").decode("latin-1")
            fields[field_names.TENANT] = name
            # The caller must not have the field of the daemon removed.
            headers.forward_field(fields, field_names.TENANT)
        return dataclasses.replace(request, fields=fields)

    def add_terms(self, terms: handovers.Terms) -> handovers.Terms:
        """Returns the terms of a handover, with the tenant of the request."""
        return handovers.add_tenant(
            terms,
            None if self.tenant is None else self.tenant.id,
            self.credentials.digest,
            self.configuration.version
            if self.accepted.hides_key and self.configuration is not None
            else None,
        )


class Authenticator:
    """Decides which requests need a key, and whether theirs is in force."""

    def __init__(
        self,
        platform_state: replicated_state.PlatformState,
        live_settings: settings.LiveSettings,
        metrics: gateway_metrics.GatewayMetrics,
    ):
        self._platform_state = platform_state
        self._live_settings = live_settings
        self._metrics = metrics
        self._lines = refusal_lines.RefusalLines()

    def admit(
        self,
        request: caller_requests.CallerRequest,
        route: tables.Route,
        terms: handovers.Terms | None = None,
    ) -> Admission | outcomes.NotRun:
        """Returns the admission of a request, or its refusal.

        Args:
            request: the request as it was read.
            route: its route.
            terms: the terms of the peer that handed it over, if one did.
        """
        credentials = _read_credentials(request, terms)
        sender_version = (terms and terms.configuration_version) or 0
        decision = self._decide(credentials, route, sender_version)
        if isinstance(decision, authentication.Refused):
            return self._refuse(decision, request, route)
        if decision.hides_key:
            self._metrics.count_authentication(_ACCEPTED_LABEL)
        tenant = decision.tenant
        return Admission(
            credentials,
            decision,
            self._platform_state.catalogue.configuration,
            is_charged=terms is not None
            and tenant is not None
            and terms.tenant == tenant.id,
            sender_version=sender_version,
        )

    def refuse_head(
        self, head: caller_requests.CallerRequest, route: tables.Route
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request before its body is read, if any.

        The request is admitted and counted when it is whole.
        """
        credentials = _read_credentials(head, None)
        decision = self._decide(credentials, route, 0)
        if isinstance(decision, authentication.Refused):
            return self._refuse(decision, head, route)
        return None

    def may_send(
        self,
        admission: Admission,
        request: caller_requests.CallerRequest,
        route: tables.Route,
    ) -> bool:
        """Whether a request that was admitted may still be sent."""
        return self._check_again(admission, request, route) is None

    def refuse_revoked(
        self,
        admission: Admission,
        request: caller_requests.CallerRequest,
        route: tables.Route,
    ) -> outcomes.NotRun | None:
        """Returns the refusal of a request whose key was revoked meanwhile."""
        refused = self._check_again(admission, request, route)
        if refused is None:
            return None
        return self._refuse(refused, request, route)

    def log_refusals(self) -> None:
        """Logs the refusals about which a line is due."""
        for line in self._lines.take_due(boot_clock.now()):
            _log.info(
                "requests refused",
                extra={
                    "cause": line.refusal_class,
                    "count": line.count,
                    **line.fields,
                },
            )

    def _check_again(
        self,
        admission: Admission,
        request: caller_requests.CallerRequest,
        route: tables.Route,
    ) -> authentication.Refused | None:
        server_catalogue = self._platform_state.catalogue
        configuration = server_catalogue.configuration
        is_same = configuration is admission.configuration
        if is_same and not self._live_settings.current.fail_closed:
            return None
        current_route = server_catalogue.routes.find(request.host, request.path)
        refused = authentication.confirm(
            admission.accepted,
            self._decide(
                admission.credentials,
                current_route or route,
                admission.sender_version,
            ),
        )
        if refused is None:
            admission.configuration = configuration
        return refused

    def _decide(
        self,
        credentials: authentication.Credentials,
        route: tables.Route,
        sender_version: int,
    ) -> authentication.Decision:
        configuration = self._platform_state.catalogue.configuration
        if configuration is None or not configuration.tenants.requires_keys:
            return authentication.Accepted()
        current = self._live_settings.current
        knowledge = authentication.Knowledge(
            may_be_outdated=self._platform_state.may_lack_configuration(
                current.configuration_bound
            ),
            is_behind_sender=sender_version > configuration.version,
            age_seconds=self._platform_state.age_seconds(),
            max_age_seconds=current.revoke_bound
            if current.fail_closed
            else None,
        )
        return authentication.authenticate(
            configuration.tenants,
            credentials,
            knowledge,
            is_public=route.is_public,
        )

    def _refuse(
        self,
        refused: authentication.Refused,
        request: caller_requests.CallerRequest,
        route: tables.Route,
    ) -> outcomes.NotRun:
        label = refused.cause.label
        self._metrics.count_authentication(label)
        fields: dict[str, object] = {
            "detail": refused.cause.detail,
            "request": request.fields.get(field_names.REQUEST_ID, ""),
            "route": route.name,
            **self._platform_state.log_fields(),
        }
        if refused.tenants:
            fields["tenants"] = list(refused.tenants)
        self._lines.record(label, fields)
        self.log_refusals()
        return refused.outcome


def _read_credentials(
    request: caller_requests.CallerRequest, terms: handovers.Terms | None
) -> authentication.Credentials:
    if terms is not None and terms.key_digest:
        return authentication.Credentials(ids.KeyDigest(terms.key_digest))
    # A peer without tenants in its configuration, or of the previous release,
    # hands over the field as the caller sent it.
    return authentication.read_credentials(
        request.fields.getall(field_names.API_KEY, ())
    )
