"""What makes two requests the same one."""

import unittest
from dataclasses import replace

from runkeel.api.backend_protocol import GenerationRequest, PlainRequest
from runkeel.quarantine.fingerprint import Fingerprinter

PLAIN = PlainRequest("r", "POST", "/p?q=1", "h", (("A", "b"),), b"body", tenant="parish")


class FingerprintTest(unittest.TestCase):
    def setUp(self):
        self.fingerprints = Fingerprinter(b"secret")

    def of(self, **changes):
        return self.fingerprints.of_plain(replace(PLAIN, **changes))

    def test_id_headers_and_place_in_a_stream_make_no_difference(self):
        same = self.of(request_id="other", headers=(), resume_after="7", urgency=3)
        self.assertEqual(same, self.of())
        self.assertEqual(self.of(host="H"), self.of())

    def test_caller_and_each_part_of_the_request_make_one(self):
        changes = (
            {"tenant": "school"},
            {"method": "PUT"},
            {"target": "/p?q=2"},
            {"host": "g"},
            {"body": b"other"},
        )
        prints = {self.of(), *(self.of(**one) for one in changes)}
        self.assertEqual(len(prints), 1 + len(changes))

    def test_parts_do_not_run_into_each_other(self):
        one = self.of(host="ab", target="c")
        self.assertNotEqual(one, self.of(host="a", target="bc"))
        self.assertNotEqual(self.of(target="/p", body=b"x"), self.of(target="/px", body=b""))

    def test_item_is_the_same_as_the_plain_request_that_runs_it(self):
        run = GenerationRequest("i", "/p?q=1", "h", (), b"body", tenant="parish")
        self.assertEqual(self.fingerprints.of_generation(run), self.of())

    def test_nobody_without_the_secret_can_make_it(self):
        self.assertNotEqual(Fingerprinter(b"guess").of_plain(PLAIN), self.of())

    def test_holds_neither_body_nor_caller(self):
        fingerprint = self.of()
        self.assertRegex(fingerprint, "^[0-9a-f]{32}$")


if __name__ == "__main__":
    unittest.main()
