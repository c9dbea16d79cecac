"""Program of the kill test: appends samples for ever and prints each digest once it is held."""

from __future__ import annotations

import os
import sys
from pathlib import Path

from runkeel.rollouts.options import RolloutOptions
from runkeel.rollouts.sample import Sample, StepKey, VersionRange, pack_tokens
from runkeel.rollouts.sample_log import SampleLog

OPTIONS = RolloutOptions(log_segment_bytes=4_096, log_maximum_bytes=1_000_000_000)


def make_sample(number: int, tokens: int = 50) -> Sample:
    """A sample that ``number`` tells from others."""
    return Sample(
        StepKey("m", "s"),
        b"d" * 16,
        f"t{number}",
        "g",
        1,
        pack_tokens(range(number, number + tokens)),
        (VersionRange(3, 0, tokens),),
        "stop",
        0.5,
        100.0,
        100.0,
    )


def main(folder: str) -> None:
    """Every tenth sample is released again."""
    log = SampleLog(Path(folder), "writer", OPTIONS)
    log.recover()
    for number in range(1_000_000):
        sample = make_sample(number)
        log.append(sample)
        os.write(1, f"held {number}\n".encode())
        if number % 10 == 9:
            log.release([sample.digest])
            os.write(1, f"released {number}\n".encode())


if __name__ == "__main__":
    main(sys.argv[1])
