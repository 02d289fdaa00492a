import json
import unittest
from unittest import mock

from hyssopwind.core import decoding
from hyssopwind.core import left_out
from hyssopwind.core.membership import vm_records

SERVER = {
    "kind": "server",
    "service": "team/ledger",
    "data_centre": "chicago",
    "address": "127.0.0.1:80",
}
VALID = json.dumps(SERVER).encode()
NESTED = b"[" * 1_500


class VmListBuilderTest(unittest.TestCase):
    def setUp(self):
        self.parts = left_out.LeftOutParts()
        self.builder = vm_records.VmListBuilder(self.parts)

    def count(self):
        return self.parts.counts[left_out.Source.VM_RECORD]

    def test_record_that_cannot_be_decoded_costs_itself_only(self):
        vm_list = self.builder.apply_listing({"a": VALID, "odd": NESTED}, 3)
        self.assertEqual(set(vm_list.servers), {"a"})
        self.assertEqual(len(vm_list.record_findings), 1)

    def test_address_that_cannot_be_used_is_a_finding(self):
        for address in ("", "127.0.0.1", "127.0.0.1:70000", "name:80", "1:2"):
            record = json.dumps({**SERVER, "address": address}).encode()
            vm_list = self.builder.apply_listing({"a": record}, 3)
            self.assertEqual(vm_list.servers, {})

    def test_unchanged_record_is_decoded_once(self):
        with mock.patch.object(
            vm_records, "_decode_record", side_effect=decoding.DecodeError("no")
        ) as decode:
            for revision in range(3, 9):
                self.builder.apply_listing({"odd": NESTED}, revision)
                self.builder.apply_change("odd", NESTED, revision)
        self.assertEqual(decode.call_count, 1)
        self.assertEqual(self.count(), 1)
        self.assertEqual(len(self.builder.pop_new_findings()), 1)
        self.assertEqual(self.builder.pop_new_findings(), [])

    def test_record_that_is_mended_is_in_force(self):
        self.builder.apply_listing({"a": NESTED}, 3)
        vm_list = self.builder.apply_change("a", VALID, 4)
        self.assertEqual(set(vm_list.servers), {"a"})
        self.assertEqual(vm_list.record_findings, ())
        self.assertEqual(self.parts.describe(), [])

    def test_older_change_is_ignored(self):
        self.builder.apply_listing({"a": VALID}, 3)
        vm_list = self.builder.apply_change("a", None, 2)
        self.assertEqual(set(vm_list.servers), {"a"})

    def test_removed_record_is_gone(self):
        self.builder.apply_listing({"a": VALID, "b": NESTED}, 3)
        self.builder.apply_change("a", None, 4)
        vm_list = self.builder.apply_listing({}, 5)
        self.assertEqual((vm_list.servers, vm_list.record_findings), ({}, ()))


if __name__ == "__main__":
    unittest.main()
