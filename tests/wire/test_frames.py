"""Frames: large bodies are compressed and malformed ones rejected."""

import struct
import unittest
import zlib

from runkeel.errors import ErrorCode, RunkeelError
from runkeel.wire.frames import COMPRESSED_FLAG, MIN_COMPRESSED_BYTES, FrameDecoder, encode_frame


def header(body, message_type):
    return struct.pack(">IQH", len(body) + 10, 7, message_type)


class FramesTest(unittest.TestCase):
    def _decode(self, data, maximum=100_000):
        return list(FrameDecoder(maximum).feed(data))

    def assert_refused(self, data, maximum=100_000):
        with self.assertRaises(RunkeelError) as caught:
            self._decode(data, maximum)
        self.assertEqual(caught.exception.code, ErrorCode.PROTOCOL_ERROR)

    def test_bodies_of_all_sizes_round_trip(self):
        for size in (0, 1, MIN_COMPRESSED_BYTES - 1, MIN_COMPRESSED_BYTES, 50_000):
            with self.subTest(size):
                body = b"ab" * (size // 2) + b"c" * (size % 2)
                frames = self._decode(encode_frame(7, 714, body) * 2)
                self.assertEqual(frames, [(7, 714, body)] * 2)

    def test_compressible_bodies_shrink_and_others_are_unchanged(self):
        text = b"letters" * 1_000
        self.assertLess(len(encode_frame(7, 714, text)), len(text) // 4)
        packed = zlib.compress(bytes(range(256)) * 40, 9)
        incompressible = packed + b"".join(zlib.compress(bytes([n])) for n in range(80))
        self.assertEqual(
            self._decode(encode_frame(7, 714, incompressible)), [(7, 714, incompressible)]
        )

    def test_body_that_decompresses_too_large_is_refused(self):
        bomb = zlib.compress(b"x" * 100_000)
        self.assert_refused(header(bomb, 714 | COMPRESSED_FLAG) + bomb, maximum=10_000)

    def test_malformed_compressed_bodies_are_refused(self):
        compressed = zlib.compress(b"text" * 500)
        for body in (b"", b"not compressed", compressed[:-5], compressed + b"more"):
            with self.subTest(body[:8]):
                self.assert_refused(header(body, 714 | COMPRESSED_FLAG) + body)


if __name__ == "__main__":
    unittest.main()
