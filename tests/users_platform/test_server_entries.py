"""Validation of server entries and other foreign objects; invalid ones don't affect the rest."""

import json
import unittest
from unittest import mock

import hypothesis.strategies as st
from hypothesis import given, settings

from runkeel.api.documents import Document, DocumentKind, UnreadableDocumentError
from runkeel.api.machines import Address
from runkeel.backends.http_connection import HttpResponse
from runkeel_lab.users_platform import use_adapter
from runkeel_lab.users_platform.foreign_entries import UNREADABLE, WRONG_VALUES, changed

use_adapter()

from runkeel_platform import entry_fields, server_entries  # noqa: E402
from runkeel_platform.document_store import PlatformDocumentStore  # noqa: E402
from runkeel_platform.server_protocol import ServerProtocol  # noqa: E402
from runkeel_platform.translation import PlatformTranslator  # noqa: E402

VALID_ENTRY = {
    "Service": "m",
    "Address": "10.0.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Stage": "both",
    "Models": [{"Name": "x", "Version": 3, "Adapters": []}],
    "Sequence": 4,
    "born": 1_764_720_000_123,
}
REQUIRED_FIELDS = ("Service", "Address", "Zone", "Slots", "State")
READABLE = object()

ANY_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)
PLAUSIBLE_VALUES = st.sampled_from(
    ["ready", "draining", "m", "10.0.0.9:80", "", 1, 0, -1, True, 2.0, None]
)


@st.composite
def entries(draw):
    """A valid entry with some fields replaced or removed."""
    entry = dict(VALID_ENTRY)
    for field in draw(st.lists(st.sampled_from(sorted(VALID_ENTRY)), max_size=3)):
        if draw(st.booleans()):
            entry[field] = draw(PLAUSIBLE_VALUES | ANY_JSON)
        else:
            entry.pop(field, None)
    return entry


def read(content, name="i-1"):
    return PlatformTranslator().backend(Document(DocumentKind.BACKEND, name, 1, content))


def is_valid(entry):
    """Test oracle: the platform's specification of an entry, field by field."""

    def is_integer(value, minimum):
        return type(value) is int and minimum <= value <= 2**53

    def name(value):
        return type(value) is str and value.strip() and value.isprintable() and len(value) <= 1000

    rules = {
        "Service": name,
        "Zone": name,
        "Version": name,
        "Stage": name,
        "State": lambda value: value in ("ready", "draining") and type(value) is str,
        "Slots": lambda value: is_integer(value, 1) and value <= 65_536,
        "Sequence": lambda value: is_integer(value, 0),
        "born": lambda value: is_integer(value, 1),
        "ColdRemainingMs": lambda value: type(value) in (int, float) and 0 <= value <= 2**53,
        "Models": lambda value: (
            type(value) is list
            and all(
                type(one) is dict and name(one.get("Name")) and is_integer(one.get("Version"), 0)
                for one in value
            )
        ),
        "Address": lambda value: (
            type(value) is str and value in (VALID_ENTRY["Address"], "10.0.0.9:80")
        ),
    }
    present = all(field in entry for field in REQUIRED_FIELDS)
    return present and all(rules[field](entry[field]) for field in entry)


class ServerEntryTest(unittest.TestCase):
    def test_valid_entry(self):
        backend = read(VALID_ENTRY)
        self.assertEqual((backend.service, backend.slots, backend.zone), ("m", 8, "a"))
        self.assertEqual(backend.address, Address("10.0.0.9", 8080))
        self.assertEqual((backend.start, backend.orders_accepted), ("1764720000123", 4))
        self.assertEqual(backend.model_versions, {"x": 3})
        self.assertTrue(backend.accepts_work)

    def test_entry_without_start_time_is_usable(self):
        entry = {
            name: value for name, value in VALID_ENTRY.items() if name not in ("born", "Sequence")
        }
        backend = read(entry)
        self.assertEqual((backend.start, backend.orders_accepted), ("", None))
        self.assertTrue(backend.accepts_work)

    def test_application_without_models(self):
        entry = {name: VALID_ENTRY[name] for name in REQUIRED_FIELDS}
        self.assertEqual(read(entry).model_versions, {})

    def test_error_names_the_invalid_field(self):
        for field, values in WRONG_VALUES.items():
            for value in values:
                with self.subTest(field, value=repr(value)[:40]):
                    with self.assertRaises(UnreadableDocumentError) as caught:
                        read(changed(VALID_ENTRY, field, value))
                    self.assertIn(field, str(caught.exception))

    def test_entry_that_is_no_object(self):
        for content in UNREADABLE:
            with self.subTest(content), self.assertRaises(UnreadableDocumentError):
                read(content)

    def test_id_that_is_invalid_in_a_header(self):
        for name in ("", " ", "a\r\nb", "漢", "\ud800"):
            with self.subTest(name), self.assertRaises(UnreadableDocumentError):
                read(VALID_ENTRY, name)

    @settings(max_examples=400, deadline=None)
    @given(entries())
    def test_random_entries_are_accepted_only_if_valid(self, entry):
        self.check(entry)

    @settings(max_examples=200, deadline=None)
    @given(ANY_JSON)
    def test_random_json_is_rejected(self, content):
        with self.assertRaises(UnreadableDocumentError):
            read(content)

    def check(self, entry):
        try:
            backend = read(entry)
        except UnreadableDocumentError:
            self.assertFalse(is_valid(entry), entry)
        else:
            self.assertTrue(is_valid(entry), entry)
            self.assertEqual(backend.slots, entry["Slots"])

    def test_fuzz_detects_a_lenient_parser(self):
        def lenient(fields, name, minimum, maximum=entry_fields.MAX_SAFE_INTEGER):
            return int(fields.get(name) or 1)

        for name, replacement in (
            ("read_integer", lenient),
            ("_state", lambda fields: str(fields.get("State"))),
            ("read_string", lambda fields, name: str(fields.get(name))),
        ):
            run = settings(max_examples=400, deadline=None, derandomize=True)(
                given(entries())(self.check)
            )
            with (
                self.subTest(name),
                mock.patch.object(server_entries, name, replacement),
                self.assertRaises((AssertionError, TypeError, ValueError, ExceptionGroup)),
            ):
                run()


class OtherKindsTest(unittest.TestCase):
    """Model versions, retirements and engine reports."""

    def test_version(self):
        translator = PlatformTranslator()
        document = Document(DocumentKind.MODEL_VERSION, "m", 1, {"Model": "m", "Version": 3})
        self.assertEqual(translator.model_version(document), ("m", 3))
        for content in (
            *UNREADABLE,
            {"Model": "m"},
            {"Model": 1, "Version": 3},
            {"Model": "m", "Version": True},
            {"Model": "m", "Version": "3"},
            {"Model": "m", "Version": 0},
            {"Model": "m", "Version": float("inf")},
        ):
            with self.subTest(content), self.assertRaises(UnreadableDocumentError):
                translator.model_version(Document(DocumentKind.MODEL_VERSION, "m", 1, content))

    def test_retirement(self):
        translator = PlatformTranslator()
        for content in ({}, {"DurationS": 20}):
            translator.check_retirement(Document(DocumentKind.RETIREMENT, "n", 1, content))
        for content in (None, "n", {"DurationS": "20"}, {"DurationS": -1}):
            with self.subTest(content), self.assertRaises(UnreadableDocumentError):
                translator.check_retirement(Document(DocumentKind.RETIREMENT, "n", 1, content))

    def test_report_of_an_engine(self):
        protocol = ServerProtocol()
        report = {"Sequence": 2, "Busy": False, "Models": VALID_ENTRY["Models"], "born": 17}
        read_report = protocol.parse_report(json.dumps(report).encode())
        self.assertEqual((read_report.sequence, read_report.start), (2, "17"))
        for field, value in (("Sequence", None), ("Models", [1]), ("born", "x"), ("Sequence", -1)):
            body = json.dumps({**report, field: value}).encode()
            with self.subTest(field), self.assertRaises(ValueError):
                protocol.parse_report(body)


class ScriptedPool:
    def __init__(self, body):
        self.body = body

    def request(self, request, deadline, **more):
        return HttpResponse(200, [], self.body)


class ListingTest(unittest.TestCase):
    """Unreadable items of a listing or events of a watch don't affect the others."""

    def setUp(self):
        self.store = PlatformDocumentStore(Address("127.0.0.1", 1))

    def set_response(self, content):
        body = content if isinstance(content, bytes) else json.dumps(content).encode()
        self.store._pool = ScriptedPool(body)

    def item(self, name="i-1", revision=5):
        return {"Metadata": {"Name": name, "Revision": revision}, "Spec": VALID_ENTRY}

    def bad_items(self):
        return [
            {"Metadata": {"Name": "bad"}, "Spec": VALID_ENTRY},
            {"Metadata": {"Name": "bad", "Revision": "9"}, "Spec": VALID_ENTRY},
            {"Metadata": {"Name": "bad", "Revision": float("inf")}, "Spec": VALID_ENTRY},
            {"Metadata": {"Revision": 9}, "Spec": VALID_ENTRY},
            {"Metadata": None, "Spec": VALID_ENTRY},
            {"Metadata": 17},
            {},
            None,
            "bad",
        ]

    def test_listing(self):
        items = [self.item("a"), *self.bad_items(), self.item("z")]
        self.set_response({"Items": items, "more": False, "at": 30})
        listing = self.store.list(DocumentKind.BACKEND)
        self.assertEqual([one.name for one in listing.documents], ["a", "z"])
        self.assertEqual(listing.revision, 30)

    def test_watch(self):
        for bad in self.bad_items():
            events = [
                {"object": self.item("a", 11), "gone": False},
                {"object": bad, "gone": False},
                {"object": self.item("z", 14), "gone": False},
            ]
            self.set_response({"events": events, "at": 14})
            with self.subTest(repr(bad)[:60]):
                changes = self.store.watch(DocumentKind.BACKEND, 10, 1.0)
                names = [one.document.name for one in changes.changes]
                self.assertEqual([name for name in names if name != "bad"], ["a", "z"])
                for change in changes.changes:
                    if change.document.name == "bad":
                        self.assertIsNone(change.document.content)
                        self.assertTrue(11 < change.document.revision < 14)

    def test_malformed_events(self):
        self.set_response({"events": [None, 17, {}, {"object": self.item("a", 11)}], "at": 11})
        changes = self.store.watch(DocumentKind.BACKEND, 10, 1.0)
        self.assertEqual([one.document.name for one in changes.changes], ["a"])

    def test_invalid_utf8_affects_only_its_entry(self):
        body = json.dumps({"Items": [self.item("a"), self.item("b")], "at": 9}).encode()
        self.set_response(body.replace(b'"Zone": "a"', b'"Zone": "\xff\xfe\x01"', 1))
        listing = self.store.list(DocumentKind.BACKEND)
        readable = []
        for document in listing.documents:
            try:
                readable.append(PlatformTranslator().backend(document).backend_id)
            except UnreadableDocumentError:
                continue
        self.assertEqual(len(listing.documents), 2)
        self.assertEqual(readable, ["b"])

    def test_keys_in_malformed_tenants_are_redacted(self):
        for tenants in (
            {"t": {"ApiKeys": ["secret"]}},
            "secret",
            ["secret"],
            [{"ApiKeys": "secret"}],
        ):
            item = {"Metadata": {"Name": "main", "Revision": 1}, "Spec": {"Tenants": tenants}}
            self.set_response({"Items": [item], "at": 1})
            with self.subTest(tenants):
                listing = self.store.list(DocumentKind.ROUTING)
                self.assertNotIn("secret", repr(listing.documents))


if __name__ == "__main__":
    unittest.main()
