"""Seeded plans: which requests a class of callers sends, and when."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from runkeel_lab.load.arrivals import poisson_arrivals
from runkeel_lab.load.classes import CallerClass, CallKind

_WORDS = ("rice", "beans", "flour", "oil", "maize", "milk", "salt", "coffee", "soap", "sugar")
_ROLLING_WORDS = 40


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One request to be sent.

    Attributes:
        at_seconds: arrival, from the start of the load.
        headers: those of every attempt.
        prompt: of a model's request, else empty.
    """

    at_seconds: float
    caller_class: CallerClass
    nonce: str
    method: str
    target: str
    body: bytes = b""
    prompt: str = ""
    headers: dict[str, str] = field(default_factory=dict)


def plan_calls(caller_class: CallerClass, seed: int, seconds: float) -> Iterator[PlannedCall]:
    """Yield the class's requests in order of arrival; the same seed gives the same plan."""
    source = random.Random(f"{seed}/{caller_class.name}")
    arrivals = poisson_arrivals(source, caller_class.rate, seconds)
    for number, at_seconds in enumerate(arrivals):
        nonce = f"{caller_class.name}-{seed}-{number}"
        if caller_class.kind.is_model:
            yield _model_call(caller_class, source, nonce, at_seconds)
        else:
            yield _application_call(caller_class, source, nonce, at_seconds)


def make_prompt(
    source: random.Random, nonce: str, prefix: int, words: int, stop_after: int | None
) -> str:
    """Return a prompt: a common prefix, some words, the nonce and the emulated length."""
    common = " ".join(_WORDS[(prefix + index) % len(_WORDS)] for index in range(_ROLLING_WORDS))
    own = " ".join(source.choice(_WORDS) for _ in range(words))
    stop = f" [stop={stop_after}]" if stop_after is not None else ""
    return f"prefix {prefix} {common} {own} id={nonce}{stop}"


def _common_headers(caller_class: CallerClass, source: random.Random) -> dict[str, str]:
    headers = {
        "X-Runkeel-Deadline-Ms": str(caller_class.deadline_ms),
        "X-Runkeel-Member": f"member-{source.randrange(caller_class.members)}",
    }
    if caller_class.priority:
        headers["X-Runkeel-Priority"] = caller_class.priority
    return headers


def _application_call(
    caller_class: CallerClass, source: random.Random, nonce: str, at_seconds: float
) -> PlannedCall:
    headers = _common_headers(caller_class, source)
    headers["X-Emulated-Ms"] = str(max(1, round(caller_class.service_ms.draw(source))))
    headers["X-Runkeel-Repeatable"] = "true" if caller_class.kind.repeatable else "false"
    base = f"/v1/services/{caller_class.pool}"
    if caller_class.kind is CallKind.LOOKUP:
        return PlannedCall(
            at_seconds, caller_class, nonce, "GET", f"{base}/lookup/{nonce}", headers=headers
        )
    if not caller_class.kind.repeatable and caller_class.idempotency_key:
        headers["Idempotency-Key"] = nonce
    headers["Content-Type"] = "application/json"
    body = json.dumps({"key": nonce, "quantity": source.randrange(1, 50)}).encode()
    target = f"{base}/{caller_class.kind}"
    return PlannedCall(at_seconds, caller_class, nonce, "POST", target, body, headers=headers)


def _model_call(
    caller_class: CallerClass, source: random.Random, nonce: str, at_seconds: float
) -> PlannedCall:
    headers = _common_headers(caller_class, source)
    headers["Content-Type"] = "application/json"
    prompt = make_prompt(
        source,
        nonce,
        source.randrange(caller_class.shared_prefixes),
        caller_class.prompt_words.draw_count(source, 500),
        caller_class.tokens.draw_count(source, caller_class.max_tokens),
    )
    streamed = caller_class.kind is CallKind.DRAFT_STREAM
    content = {"prompt": prompt, "max_tokens": caller_class.max_tokens, "stream": streamed}
    target = f"/v1/models/{caller_class.pool}/completions"
    body = json.dumps(content).encode()
    return PlannedCall(
        at_seconds, caller_class, nonce, "POST", target, body, prompt, headers=headers
    )
