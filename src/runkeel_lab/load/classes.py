"""Classes of callers, as an experiment file describes them."""

from __future__ import annotations

import enum

from pydantic import BaseModel, ConfigDict, Field

from runkeel_lab.load.arrivals import LengthDistribution


class CallKind(enum.StrEnum):
    """What a caller asks for."""

    LOOKUP = "lookup"
    RESERVE = "reserve"
    RATE = "rate"
    ECHO = "echo"
    DRAFT = "draft"
    """A model's completion, whole."""
    DRAFT_STREAM = "draft_stream"
    """A model's completion, streamed."""

    @property
    def is_model(self) -> bool:
        """Whether a model answers it."""
        return self in (CallKind.DRAFT, CallKind.DRAFT_STREAM)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self not in (CallKind.RESERVE, CallKind.RATE)


class CallerClass(BaseModel):
    """One class of callers: what it asks, how often, and what it does about errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    name: str
    kind: CallKind
    pool: str
    """Service or model."""
    rate: float = Field(gt=0)
    """Arrivals a second (Poisson)."""
    priority: str = ""
    deadline_ms: int = Field(2_000, gt=0)
    zone: str = ""
    """Zone whose nodes these callers use; empty: all nodes in turn."""
    members: int = Field(10, ge=1)
    service_ms: LengthDistribution = LengthDistribution(median=5.0)
    """Emulated service time of applications, in ms."""
    prompt_words: LengthDistribution = LengthDistribution(median=30.0, tail_fraction=0.0)
    shared_prefixes: int = Field(8, ge=1)
    """Prompts begin with one of this many common prefixes."""
    tokens: LengthDistribution = LengthDistribution()
    max_tokens: int = Field(2_048, ge=1)
    attempts: int = Field(3, ge=1)
    """Sendings at most; each retry goes to the next node, with the same idempotency key."""
    retry_wait_ms: float = Field(50.0, ge=0)
    idempotency_key: bool = True
    """Whether non-repeatable requests carry a key."""
