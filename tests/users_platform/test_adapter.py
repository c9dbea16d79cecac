"""The adapter: settings, objects, headers and events."""

import json
import tempfile
import unittest
from pathlib import Path

from runkeel.api.backend_protocol import ForwardedRequest, ResponseClass
from runkeel.api.documents import Document, DocumentKind
from runkeel.api.fleet import Backend, RouteKind
from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError
from runkeel.gateway.event_order import is_next_event
from runkeel_lab.users_platform import use_adapter

use_adapter()

from runkeel_platform import settings as platform_settings  # noqa: E402
from runkeel_platform.server_protocol import ServerProtocol, forwarded_headers  # noqa: E402
from runkeel_platform.translation import PlatformTranslator  # noqa: E402

SETTINGS = {
    "NodeName": "edge-a-1",
    "Serves": ["edge"],
    "Ip": "10.1.0.10",
    "Zone": "a",
    "Zones": {"a": "r", "b": "r"},
    "Listen": {"Frontend": "10.1.0.10:8161", "Readiness": "10.1.0.10:8167"},
    "InternalPorts": [7720, 7735],
    "Bounds": {"GraceS": 8, "LeaseMs": 3000},
    "Platform": {"Address": "10.200.1.7:8169"},
    "A field that is not known": {"x": 1},
}
BACKEND = Backend("i-1", "s", Address("10.0.0.1", 80), "a")


class SettingsTest(unittest.TestCase):
    def _load(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "settings.json"
            path.write_text(text)
            return platform_settings.load(path, 7)

    def _changed(self, **changes):
        return json.dumps({**SETTINGS, **changes})

    def test_edge_machine(self):
        loaded = self._load(json.dumps(SETTINGS))
        self.assertEqual(loaded.frontend, Address("10.1.0.10", 8161))
        self.assertEqual(loaded.fleet.peer_address, Address("10.1.0.10", 7720))
        self.assertEqual(loaded.fleet.order_pause_seconds, 3.0)
        self.assertFalse(loaded.fleet.preferred_coordinator)
        self.assertIsNone(loaded.fleet.data_folder)

    def test_storage_machine_has_no_listeners_for_clients(self):
        loaded = self._load(self._changed(Serves=["storage"], Listen={}, DataDir="/data"))
        self.assertIsNone(loaded.frontend)
        self.assertTrue(loaded.fleet.preferred_coordinator)
        self.assertEqual(loaded.fleet.data_folder, Path("/data"))

    def test_propagation_time_is_the_shorter_bound(self):
        bounds = {"GraceS": 8, "LeaseMs": 3000}
        for given, seconds in (
            ({"DrainMs": 3000, "ConfigApplyMs": 1500}, 1.5),
            ({"DrainMs": 1200}, 1.2),
            ({}, 2.0),
        ):
            settings = self._load(self._changed(Bounds={**bounds, **given}))
            self.assertEqual(settings.fleet.max_propagation_seconds, seconds)

    def test_error_names_the_invalid_field(self):
        for change, key in (
            ({"NodeName": ""}, "NodeName"),
            ({"Zone": 5}, "Zone"),
            ({"Zones": []}, "Zones"),
            ({"InternalPorts": [7720]}, "InternalPorts"),
            ({"Bounds": {"GraceS": -1, "LeaseMs": 1}}, "GraceS"),
            ({"Bounds": {"GraceS": 8}}, "LeaseMs"),
            ({"Bounds": {"GraceS": 8, "LeaseMs": 1, "DrainMs": "2 s"}}, "DrainMs"),
            ({"Platform": {}}, "Platform.Address"),
            ({"Platform": {"Address": "10.0.0.1"}}, "Platform.Address"),
            ({"Listen": {"Frontend": "x"}}, "Listen.Frontend"),
        ):
            with self.subTest(change), self.assertRaises(RunkeelError) as caught:
                self._load(self._changed(**change))
            self.assertEqual(caught.exception.code, ErrorCode.BAD_SETTINGS)
            self.assertIn(key, caught.exception.detail)

    def test_missing_or_malformed_file(self):
        for text in ("", "{", "[]"):
            with self.subTest(text), self.assertRaises(RunkeelError):
                self._load(text)
        with self.assertRaises(RunkeelError):
            platform_settings.load(Path("/nowhere/settings.json"), 1)


class TranslationTest(unittest.TestCase):
    def _configuration(self, *routes):
        content = {
            "Version": 7,
            "Routes": list(routes),
            "Services": [
                {
                    "Name": "m",
                    "MaxConnections": 9,
                    "Engine": {"Slots": 8, "Models": [{"Name": "x"}]},
                }
            ],
            "Limits": {"IdleTimeoutMs": 15000},
        }
        document = Document(DocumentKind.ROUTING, "main", 3, content)
        return PlatformTranslator().routing_configuration(document)

    def test_route_with_shares(self):
        configuration = self._configuration(
            {
                "Name": "r",
                "Host": "H.example",
                "PathPrefix": "/p/",
                "RouteType": "idempotent",
                "TimeoutMs": 1500,
                "TargetLatencyMs": 191,
                "Priority": 2,
                "TrafficSplit": [
                    {"Service": "a", "Weight": 90},
                    {"Service": "b", "Weight": 10},
                ],
                "MaxAttempts": 2,
            }
        )
        route = configuration.routes[0]
        self.assertEqual((route.host, route.kind), ("h.example", RouteKind.REPEATABLE))
        self.assertEqual([share.weight for share in route.shares], [90.0, 10.0])
        self.assertEqual((route.timeout_seconds, route.target_latency_seconds), (1.5, 0.191))
        self.assertEqual(configuration.services["m"].models, ("x",))
        self.assertEqual(configuration.limits.idle_timeout_seconds, 15.0)

    def test_unknown_route_type_is_not_repeatable(self):
        route = {"Host": "h", "PathPrefix": "/", "Service": "a", "RouteType": "new kind"}
        self.assertIs(self._configuration(route).routes[0].kind, RouteKind.NOT_REPEATABLE)

    def test_malformed_document(self):
        for content in (None, {}, {"Version": "x"}, {"Version": 1, "Routes": [{}]}):
            with (
                self.subTest(content),
                self.assertRaises((KeyError, TypeError, ValueError, AttributeError)),
            ):
                document = Document(DocumentKind.ROUTING, "main", 1, content)
                PlatformTranslator().routing_configuration(document)

    def test_server(self):
        content = {
            "Service": "m",
            "Address": "10.0.0.9:8080",
            "Zone": "a",
            "Slots": 8,
            "State": "draining",
            "Models": [{"Name": "x", "Version": 3}],
        }
        backend = PlatformTranslator().backend(Document(DocumentKind.BACKEND, "i-1", 1, content))
        self.assertTrue(backend.draining)
        self.assertEqual(backend.model_versions, {"x": 3})


class ServerProtocolTest(unittest.TestCase):
    protocol = ServerProtocol()

    def _plain(self, *headers, **more):
        return ForwardedRequest("r", "POST", "/p?q=1", "h.example", headers, b"body", **more)

    def test_hop_by_hop_headers_are_not_forwarded(self):
        headers = (
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("Content-Length", "4"),
            ("Host", "h"),
            ("Deadline-Ms", "900"),
            ("X-Own", "kept"),
        )
        self.assertEqual(forwarded_headers(headers), [("X-Own", "kept")])

    def test_deadline_and_instance_are_set(self):
        outgoing = self.protocol.encode_forwarded_request(
            self._plain(("Deadline-Ms", "900")), BACKEND, 0.25
        )
        self.assertIn(("Deadline-Ms", "250"), outgoing.headers)
        self.assertIn(("Expect-Instance", "i-1"), outgoing.headers)
        self.assertEqual((outgoing.host, outgoing.target), ("h.example", "/p?q=1"))

    def test_stream_is_resumed_after_the_last_event(self):
        request = self._plain(("Last-Event-Id", "2"), resume_after="5", urgency=3)
        headers = self.protocol.encode_forwarded_request(request, BACKEND, 1.0).headers
        self.assertEqual([value for name, value in headers if name == "Last-Event-Id"], ["5"])
        self.assertIn(("Priority-Class", "3"), headers)

    def test_responses_are_classified(self):
        stamp = ("Server-Stamp", "s")
        for status, headers, expected in (
            (200, [stamp, ("Attempt-Id", "r")], ResponseClass.SUCCESS),
            (200, [("Attempt-Id", "r")], ResponseClass.FOREIGN),
            (200, [stamp, ("Attempt-Id", "other")], ResponseClass.FOREIGN),
            (503, [("Not-Executed", "1")], ResponseClass.REFUSED),
            (503, [], ResponseClass.FAILURE),
            (421, [], ResponseClass.MISDIRECTED),
            (500, [stamp], ResponseClass.FAILURE),
        ):
            with self.subTest(status=status, headers=headers):
                self.assertIs(self.protocol.classify("r", status, headers), expected)

    def test_event(self):
        event = self.protocol.parse_event(b"weight-versions: 7\nid: 5\ndata: a\ndata: b")
        self.assertEqual((event.event_id, event.data, event.version), ("5", "a\nb", 7))
        self.assertFalse(self.protocol.parse_event(b": comment").has_data)

    def test_digits_that_are_no_decimal_number_are_no_version(self):
        """Guards against an item that ends without a result after wrong bytes of an engine."""
        for text in ("²", "٣", "-1", "9" * 5_000, "1 2"):
            with self.subTest(text[:4]):
                event = self.protocol.parse_event(f"weight-versions: {text}\ndata: a".encode())
                self.assertEqual((event.version, event.data), (0, "a"))
                self.assertEqual(self.protocol.weight_version([("Weight-Versions", text)]), 0)
                self.assertTrue(is_next_event("1", text))
                self.assertTrue(is_next_event(text, "1"))


if __name__ == "__main__":
    unittest.main()
