import random
import unittest

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.codec import decode, encode
from runkeel.wire.generated.common.ttypes import ErrorReport, Hello, HttpHeader
from runkeel.wire.generated.jobs.ttypes import ItemRunStart, ItemScorer


class CodecTest(unittest.TestCase):
    def test_round_trip(self):
        hello = Hello(1, "cluster", "node", "zone", 7, b"\x00" * 16)
        self.assertEqual(decode(Hello, encode(hello)), hello)

    def test_damaged_bodies_give_protocol_errors_only(self):
        request = ItemRunStart(
            "shard",
            7,
            "session",
            "7.1",
            "back end",
            "id",
            "host",
            "/",
            [HttpHeader("a", "b")],
            b"body",
            1,
            "3",
            [1, 2],
            1,
            True,
            100,
            ItemScorer("id", "host", "/", "Ym9keQ=="),
        )
        encoded = encode(request)
        rng = random.Random(1)
        for _ in range(2_000):
            damaged = bytearray(encoded)
            for _ in range(3):
                damaged[rng.randrange(len(damaged))] = rng.randrange(256)
            try:
                decode(ItemRunStart, bytes(damaged))
            except RunkeelError as error:
                self.assertIs(error.code, ErrorCode.PROTOCOL_ERROR)

    def test_deep_nesting_is_refused(self):
        with self.assertRaises(RunkeelError):
            decode(Hello, b"\xfc" * 1_000_000)

    def test_wrong_field_type_is_refused(self):
        with self.assertRaises(RunkeelError):
            encode(Hello("not a number"))
        with self.assertRaises(RunkeelError):
            encode(ErrorReport(code="\udc80"))
