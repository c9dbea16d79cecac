"""Tests of which parts of a request determine its fingerprint."""

import unittest
from dataclasses import replace

from runkeel.api.backend_protocol import ForwardedRequest
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

    def test_crash_of_a_server_has_a_fingerprint_that_no_request_has(self):
        """Guards against a client that has its own request's crashes taken for an item's."""
        of_server = self.fingerprinter.of_server("i-1")
        self.assertNotEqual(of_server, self.fingerprinter.of_server("i-2"))
        for method in ("GET", "POST"):
            request = self.of(tenant="", method=method, host="", target="i-1", body=b"")
            self.assertNotEqual(of_server, request)

    def test_fingerprint_depends_on_the_secret(self):
        self.assertNotEqual(Fingerprinter(b"guess").of_forwarded_request(PLAIN), self.of())

    def test_fingerprint_is_an_opaque_digest(self):
        fingerprint = self.of()
        self.assertRegex(fingerprint, "^[0-9a-f]{32}$")


if __name__ == "__main__":
    unittest.main()
