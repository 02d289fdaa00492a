import unittest

from hyssopwind.core import ids
from hyssopwind.core.discovery import catalogue
from hyssopwind.core.discovery import entries
from hyssopwind.core.discovery import records
from hyssopwind.core.routing import tables

SERVICE = ids.ServiceId("s")
SERVER = ids.ServerId("i-1")


def make_entry(**changes):
    values = {
        "id": SERVER,
        "service": SERVICE,
        "address": "127.0.0.1:80",
        "data_centre": ids.DataCentreId("north"),
        "slots": 4,
        "is_draining": False,
        "warmup_left_seconds": 0.0,
        "started_at_ms": 1,
    }
    return entries.ServerEntry(**{**values, **changes})


class CatalogueTest(unittest.TestCase):
    def setUp(self):
        self.catalogue = catalogue.Catalogue()
        self.put_server(now=0.0)

    def put_server(self, now, **changes):
        record = records.ServerRecord(make_entry(**changes))
        return self.catalogue.apply_record(record, now)

    def usable_ids(self, now):
        servers = self.catalogue.usable_servers(SERVICE, now)
        return [listed_server.entry.id for listed_server in servers]

    def test_draining_server_is_not_usable(self):
        change = self.put_server(now=1.0, is_draining=True)
        self.assertIs(change, catalogue.CatalogueChange.SERVER_DRAINING)
        self.assertEqual(self.usable_ids(1.0), [])
        self.assertFalse(self.catalogue.may_send(SERVER, 1.0))

    def test_removed_server_is_dropped_at_once(self):
        self.catalogue.apply_record(records.ServerRemoved(SERVER), 1.0)
        self.assertEqual(self.usable_ids(1.0), [])

    def test_server_removed_in_an_outage_is_usable_in_the_grace_period(self):
        self.catalogue.record_outage(10.0)
        self.catalogue.apply_record(records.ServerRemoved(SERVER), 10.0)
        grace_ends_at = 10.0 + catalogue.EXPIRY_GRACE_SECONDS
        self.assertEqual(self.usable_ids(grace_ends_at - 0.1), [SERVER])
        self.assertEqual(self.usable_ids(grace_ends_at), [])
        self.assertEqual(self.catalogue.remove_expired(grace_ends_at), [SERVER])

    def test_removed_server_that_is_published_again_stays_usable(self):
        self.catalogue.record_outage(10.0)
        self.catalogue.apply_record(records.ServerRemoved(SERVER), 10.0)
        self.put_server(now=11.0)
        self.assertEqual(self.usable_ids(20.0), [SERVER])

    def test_draining_server_removed_in_an_outage_is_dropped_at_once(self):
        self.put_server(now=9.0, is_draining=True)
        self.catalogue.record_outage(10.0)
        self.catalogue.apply_record(records.ServerRemoved(SERVER), 10.0)
        self.assertIsNone(self.catalogue.find(SERVER))

    def test_servers_of_an_evacuated_data_centre_are_not_usable(self):
        north = ids.DataCentreId("north")
        self.catalogue.apply_record(records.EvacuationRecord(north, True), 1.0)
        self.assertEqual(self.usable_ids(1.0), [])
        self.assertFalse(self.catalogue.may_send(SERVER, 1.0))
        self.catalogue.apply_record(records.EvacuationRecord(north, False), 2.0)
        self.assertEqual(self.usable_ids(2.0), [SERVER])

    def test_same_id_with_another_start_is_a_new_server(self):
        self.put_server(now=5.0, started_at_ms=2, warmup_left_seconds=3.0)
        listed_server = self.catalogue.find(SERVER)
        self.assertEqual(listed_server.first_listed_at, 5.0)
        self.assertEqual(listed_server.cold_until, 8.0)

    def test_server_with_an_unreadable_entry_is_not_usable(self):
        self.catalogue.apply_record(records.UnreadableServer(SERVER, ()), 1.0)
        self.assertEqual(self.usable_ids(1.0), [])

    def test_older_configuration_is_ignored(self):
        for version, expected in ((7, 7), (5, 7), (9, 9)):
            configuration = tables.Configuration(
                version, (), {}, tables.CallerLimits()
            )
            record = records.ConfigurationRecord(configuration)
            self.catalogue.apply_record(record, 1.0)
            self.assertEqual(self.catalogue.configuration_version, expected)


class RestoredPlatformTest(unittest.TestCase):
    """A platform that was restored from a copy says what was before."""

    def setUp(self):
        self.catalogue = catalogue.Catalogue()

    def put_server(self, *, is_restored=False, **changes):
        record = records.ServerRecord(make_entry(**changes))
        return self.catalogue.apply_record(record, 1.0, is_restored=is_restored)

    def usable_ids(self, now=1.0):
        servers = self.catalogue.usable_servers(SERVICE, now)
        return [listed_server.entry.id for listed_server in servers]

    def test_draining_server_stays_draining(self):
        self.put_server(sequence=5, is_draining=True)
        change = self.put_server(sequence=4, is_restored=True)
        self.assertIs(change, catalogue.CatalogueChange.OLDER_ENTRY_IGNORED)
        self.assertEqual(self.usable_ids(), [])

    def test_removed_server_stays_removed_until_it_reports_again(self):
        self.put_server(sequence=5)
        self.catalogue.apply_record(records.ServerRemoved(SERVER), 1.0)
        self.put_server(sequence=5, is_restored=True)
        self.assertEqual(self.usable_ids(), [])
        self.put_server(sequence=6, is_restored=True)
        self.assertEqual(self.usable_ids(), [SERVER])

    def test_new_start_of_a_removed_server_is_usable(self):
        self.put_server(sequence=5)
        self.catalogue.apply_record(records.ServerRemoved(SERVER), 1.0)
        self.put_server(sequence=1, started_at_ms=2, is_restored=True)
        self.assertEqual(self.usable_ids(), [SERVER])

    def test_server_that_the_copy_lacks_is_usable_in_the_grace_period(self):
        self.put_server()
        self.catalogue.record_restoration(1.0)
        removal = records.ServerRemoved(SERVER)
        self.catalogue.apply_record(removal, 1.0, is_restored=True)
        self.assertEqual(self.usable_ids(), [SERVER])
        self.assertEqual(self.usable_ids(10.0), [])

    def test_evacuation_that_the_copy_lacks_ends_after_the_grace_period(self):
        self.put_server()
        north = ids.DataCentreId("north")
        started = records.EvacuationRecord(north, True)
        ended = records.EvacuationRecord(north, False)
        self.catalogue.apply_record(started, 1.0)
        self.catalogue.record_restoration(1.0)
        self.catalogue.apply_record(ended, 1.0, is_restored=True)
        self.catalogue.remove_expired(2.0)
        self.assertEqual(self.usable_ids(), [])
        self.catalogue.remove_expired(1.0 + catalogue.EXPIRY_GRACE_SECONDS)
        self.assertEqual(self.usable_ids(), [SERVER])
        self.catalogue.apply_record(started, 5.0)
        self.catalogue.apply_record(ended, 5.0)
        self.assertEqual(self.usable_ids(), [SERVER])
