import unittest

from hyssopwind.core import ids
from hyssopwind.core import outcomes
from hyssopwind.core.tenants import authentication
from hyssopwind.core.tenants import tenant_table


def make_table(unreadable_count=0, **keys):
    return tenant_table.TenantTable(
        [
            tenant_table.TenantKeys(
                tenant_table.Tenant(ids.TenantId(name)),
                frozenset(tenant_table.digest_key(key) for key in own_keys),
            )
            for name, own_keys in keys.items()
        ],
        unreadable_count,
    )


def decide(table, *values, is_public=False, **knowledge):
    return authentication.authenticate(
        table,
        authentication.read_credentials(values),
        authentication.Knowledge(**knowledge),
        is_public=is_public,
    )


class AuthenticationTest(unittest.TestCase):
    def assert_refused(self, decision, cause, status):
        self.assertEqual(decision.cause, cause)
        outcome = decision.outcome
        self.assertIsInstance(outcome, outcomes.NotRun)
        self.assertEqual(outcome.reason.status, status)
        self.assertEqual(outcome.retry_after_seconds is not None, status == 503)

    def test_requests_of_a_configuration_without_tenants_stay_as_they_are(self):
        for values in ((), ("a",), ("a", "b")):
            decision = decide(make_table(), *values, may_be_outdated=True)
            self.assertEqual(decision, authentication.Accepted())

    def test_each_fault_of_a_key_is_refused_with_401(self):
        table = make_table(one=["a"], two=["b"])
        causes = authentication.Cause
        self.assertEqual(decide(table, "b").tenant.id, "two")
        self.assert_refused(decide(table), causes.MISSING, 401)
        self.assert_refused(decide(table, ""), causes.MISSING, 401)
        self.assert_refused(decide(table, "c"), causes.UNKNOWN, 401)
        self.assert_refused(decide(table, "a, b"), causes.UNKNOWN, 401)
        # Both values are valid; a server could take the other one.
        self.assert_refused(decide(table, "a", "a"), causes.REPEATED, 401)
        self.assert_refused(decide(table, "a", "b"), causes.REPEATED, 401)

    def test_public_route_needs_no_key_and_has_no_tenant(self):
        table = make_table(one=["a"])
        for values in ((), ("a",), ("c",), ("a", "a")):
            decision = decide(table, *values, is_public=True)
            self.assertEqual(
                decision, authentication.Accepted(None, hides_key=True)
            )

    # The configuration would be open to everyone if its only tenant were
    # ignored because it cannot be read.
    def test_keys_are_required_when_the_only_tenant_is_unreadable(self):
        table = make_table(unreadable_count=1)
        self.assert_refused(
            decide(table, "a"), authentication.Cause.TENANT_UNREADABLE, 503
        )
        self.assert_refused(decide(table), authentication.Cause.MISSING, 401)

    def test_unreadable_tenant_leaves_the_keys_of_others_in_force(self):
        table = make_table(unreadable_count=1, one=["a"])
        self.assertEqual(decide(table, "a").tenant.id, "one")

    # Callers do not try again after 401, so it must not be a guess.
    def test_unknown_key_is_503_while_a_newer_configuration_may_have_it(self):
        table = make_table(one=["a"])
        cause = authentication.Cause.NEWER_CONFIGURATION
        self.assert_refused(
            decide(table, "c", may_be_outdated=True), cause, 503
        )
        self.assert_refused(
            decide(table, "c", is_behind_sender=True), cause, 503
        )
        self.assert_refused(decide(table, is_behind_sender=True), cause, 503)
        self.assertEqual(
            decide(table, "a", may_be_outdated=True).tenant.id, "one"
        )

    def test_shared_key_identifies_no_tenant(self):
        table = make_table(one=["a", "s"], two=["b", "s"], three=["s"])
        decision = decide(table, "s")
        self.assert_refused(decision, authentication.Cause.SHARED, 401)
        self.assertEqual(decision.tenants, ("one", "two", "three"))
        self.assertEqual(decide(table, "a").tenant.id, "one")
        # No tenant that cannot be read would make the key that of one tenant.
        table = make_table(unreadable_count=1, one=["s"], two=["s"])
        self.assert_refused(
            decide(table, "s"), authentication.Cause.SHARED, 401
        )

    def test_unconfirmed_configuration_is_refused_only_with_a_bound(self):
        table = make_table(one=["a"])
        cause = authentication.Cause.UNCONFIRMED
        old = {"age_seconds": 5.1, "may_be_outdated": True}
        self.assertEqual(decide(table, "a", **old).tenant.id, "one")
        for values in ((), ("a",), ("c",)):
            self.assert_refused(
                decide(table, *values, max_age_seconds=5.0, **old), cause, 503
            )
        young = decide(table, "a", max_age_seconds=5.0, age_seconds=5.0)
        self.assertEqual(young.tenant.id, "one")
        public = decide(table, is_public=True, max_age_seconds=5.0, **old)
        self.assertIsInstance(public, authentication.Accepted)


class ConfirmationTest(unittest.TestCase):
    """A request that waited is checked by the configuration in force then."""

    def confirm(self, earlier_table, later_table, *, is_public_later=False):
        earlier = decide(earlier_table, "a")
        later = decide(later_table, "a", is_public=is_public_later)
        refused = authentication.confirm(earlier, later)
        return refused and refused.cause

    def test_revoked_key_is_refused(self):
        self.assertEqual(
            self.confirm(make_table(one=["a"]), make_table(one=["b"])),
            authentication.Cause.UNKNOWN,
        )

    def test_key_that_stays_with_its_tenant_is_accepted(self):
        self.assertIsNone(
            self.confirm(make_table(one=["a"]), make_table(one=["a", "b"]))
        )

    # It would be sent with the name, and the allowance, of another tenant.
    def test_key_that_moved_to_another_tenant_is_refused(self):
        self.assertEqual(
            self.confirm(make_table(one=["a"]), make_table(two=["a"])),
            authentication.Cause.TENANT_CHANGED,
        )

    # The request still has the key, which servers must not receive.
    def test_first_tenants_of_a_configuration_refuse_waiting_requests(self):
        self.assertEqual(
            self.confirm(make_table(), make_table(one=["a"])),
            authentication.Cause.TENANT_CHANGED,
        )
        self.assertEqual(
            self.confirm(make_table(), make_table(), is_public_later=True), None
        )


class SecrecyTest(unittest.TestCase):
    def test_no_text_of_a_decision_or_a_table_has_a_key(self):
        key = "secret-0123"
        table = make_table(one=[key, "s"], two=["s"])
        texts = [
            repr(vars(table)),
            repr(authentication.read_credentials([key])),
            repr(decide(table, key)),
            repr(decide(table, key + "x")),
        ]
        texts += [str(cause.value) for cause in authentication.Cause]
        for text in texts:
            self.assertNotIn(key, text)
