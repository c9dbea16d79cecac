"""Tests of which parts of a request determine its fingerprint."""

import unittest
from dataclasses import replace

from runkeel.api.backend_protocol import ForwardedRequest, GenerationRequest
from runkeel.quarantine.fingerprint import Fingerprinter

PLAIN = ForwardedRequest("r", "POST", "/p?q=1", "h", (("A", "b"),), b"body", tenant="parish")


class FingerprintTest(unittest.TestCase):
    def setUp(self):
        self.fingerprinter = Fingerprinter(b"secret")

    def of(self, **changes):
        return self.fingerprinter.of_forwarded_request(replace(PLAIN, **changes))

    def test_id_headers_and_stream_position_do_not_affect_fingerprint(self):
        same = self.of(request_id="other", headers=(), resume_after="7", urgency=3)
        self.assertEqual(same, self.of())
        self.assertEqual(self.of(host="H"), self.of())

    def test_tenant_method_target_host_and_body_affect_fingerprint(self):
        changes = (
            {"tenant": "school"},
            {"method": "PUT"},
            {"target": "/p?q=2"},
            {"host": "g"},
            {"body": b"other"},
        )
        fingerprints = {self.of(), *(self.of(**one) for one in changes)}
        self.assertEqual(len(fingerprints), 1 + len(changes))

    def test_field_boundaries_affect_fingerprint(self):
        one = self.of(host="ab", target="c")
        self.assertNotEqual(one, self.of(host="a", target="bc"))
        self.assertNotEqual(self.of(target="/p", body=b"x"), self.of(target="/px", body=b""))

    def test_item_has_the_fingerprint_of_its_plain_request(self):
        run = GenerationRequest("i", "/p?q=1", "h", (), b"body", tenant="parish")
        self.assertEqual(self.fingerprinter.of_generation(run), self.of())

    def test_fingerprint_depends_on_the_secret(self):
        self.assertNotEqual(Fingerprinter(b"guess").of_forwarded_request(PLAIN), self.of())

    def test_fingerprint_is_an_opaque_digest(self):
        fingerprint = self.of()
        self.assertRegex(fingerprint, "^[0-9a-f]{32}$")


if __name__ == "__main__":
    unittest.main()
