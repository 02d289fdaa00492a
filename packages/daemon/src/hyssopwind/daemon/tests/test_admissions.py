"""Tests of the requests of tenants as servers receive them."""

import unittest

import multidict

from hyssopwind.core import ids
from hyssopwind.core.tenants import authentication
from hyssopwind.core.tenants import tenant_table
from hyssopwind.daemon.gateway import authenticator
from hyssopwind.daemon.gateway import caller_requests


class PrepareTest(unittest.TestCase):
    def test_connection_cannot_remove_the_tenant(self) -> None:
        """Guards against a caller that has the daemon's field dropped."""
        tenant = tenant_table.Tenant(ids.TenantId("acme"))
        admission = authenticator.Admission(
            authentication.Credentials(),
            authentication.Accepted(tenant, hides_key=True),
            None,
        )
        for value in ("Tenant", "close, tENANT ,X-Once"):
            fields = multidict.CIMultiDict(
                {"Connection": value, "Tenant": "forged", "X-Once": "1"}
            )
            request = caller_requests.CallerRequest(
                "GET", "/", fields, b"", 0.0, (1, 1), False
            )
            data = caller_requests.encode_request(
                admission.prepare(request), ()
            )
            self.assertIn(b"Tenant: acme\r\n", data)
            self.assertNotIn(b"forged", data)
            if "X-Once" in value:
                self.assertNotIn(b"X-Once", data)
