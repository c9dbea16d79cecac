"""Configuration set by operators: the typed ``spec`` of each kind of configuration object."""

from __future__ import annotations

import enum

from pydantic import BaseModel, ConfigDict, Field


class ObjectKind(enum.StrEnum):
    """Kinds of configuration objects."""

    SERVICE = "service"
    MODEL = "model"
    PRIORITY_CLASS = "priority_class"
    MEMBER_LIMIT = "member_limit"
    DRAIN = "drain"
    ENGINE_ROLE = "engine_role"
    RECORD_GROUP = "record_group"
    OPERATOR = "operator"


class Spec(BaseModel):
    """Base of all specs; rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ServiceSpec(Spec):
    """An application service."""

    default_deadline_ms: int = Field(2_000, gt=0, le=600_000)
    """Deadline of a request that sets none, in ms."""
    default_priority_class: str = "standard"
    repeatable: bool = True
    """Whether a request may run more than once if it does not specify this."""
    max_in_flight_per_backend: int = Field(16, gt=0, le=10_000)
    max_queue_per_backend: int = Field(256, gt=0, le=100_000)
    max_in_flight: int = Field(10_000, gt=0)
    """Limit on requests in flight to this service from one entry node."""
    hedge_quantile: float = Field(0.95, ge=0.0, le=1.0)
    """Latency quantile after which a repeatable request is hedged; 1 disables hedging."""
    retry_budget: float = Field(0.1, ge=0.0, le=1.0)
    """Maximum retries and hedges, as a fraction of first attempts."""


class DeliveryPreference(enum.StrEnum):
    """Goal that a model's rollout favours when the two conflict."""

    IDLE_TIME = "idle_time"
    STALENESS = "staleness"


class ModelSpec(Spec):
    """A model, its target weight version and its rollout bounds."""

    target_version: int = Field(1, ge=0)
    adapter: str = ""
    default_deadline_ms: int = Field(30_000, gt=0, le=3_600_000)
    default_priority_class: str = "standard"
    max_in_flight_per_backend: int = Field(32, gt=0, le=10_000)
    max_queue_per_backend: int = Field(256, gt=0, le=100_000)
    max_in_flight: int = Field(10_000, gt=0)
    retry_budget: float = Field(0.1, ge=0.0, le=1.0)
    max_staleness_versions: int = Field(4, ge=0)
    """Maximum lag of a sample's oldest token range behind the trainer, in weight versions."""
    max_staleness_seconds: float = Field(900.0, gt=0)
    """Maximum age of a sample's first token when the sample is delivered, in seconds."""
    prefer: DeliveryPreference = DeliveryPreference.IDLE_TIME
    rollout_share: float = Field(0.8, ge=0.0, le=1.0)
    """Maximum fraction of an engine's slots that rollouts may hold while callers wait."""
    swap_fraction: float = Field(0.34, gt=0.0, le=1.0)
    """Maximum fraction of the model's engines that swap weights concurrently."""
    rollout_paused: bool = False
    """Pauses the rollout of target_version."""


class PriorityClassSpec(Spec):
    """A priority class of requests."""

    rank: int = Field(ge=0, le=1_000)
    """Priority; 0 is the most urgent. Rollouts run at rank 1000."""
    contract_p99_ms: float = Field(gt=0)
    """Agreed 99th-percentile latency of this class, in ms."""


class MemberLimitSpec(Spec):
    """Limits of one member; the object named ``default`` applies to members without their own."""

    requests_per_second: float = Field(1_000.0, gt=0)
    burst: int = Field(2_000, gt=0)
    max_in_flight: int = Field(1_000, gt=0)


class DrainSpec(Spec):
    """Drains a backend or node, given by the object's name: it gets no new work."""

    reason: str = ""
    stop: bool = False
    """Whether a node stops once it is drained."""


class EngineRoleSpec(Spec):
    """Role of the engine given by the object's name."""

    role: str = "mixed"
    """``mixed``, ``serve`` (callers only) or ``rollout`` (rollouts only)."""


class RecordGroupSpec(Spec):
    """A replica set for replicated records."""

    epoch: int = Field(1, ge=1)
    members: tuple[str, ...] = ()
    joined: tuple[str, ...] = ()
    """Members that may already have voted in this epoch, as ``node_id@incarnation``."""


class OperatorSpec(Spec):
    """An operator, given by the object's name, and the hash of its token."""

    role: str = "read"
    """``read`` or ``operate``."""
    token_sha256: str = ""
    """SHA-256 of the salt and the token, in hex."""
    salt: str = ""


SPEC_CLASSES: dict[ObjectKind, type[Spec]] = {
    ObjectKind.SERVICE: ServiceSpec,
    ObjectKind.MODEL: ModelSpec,
    ObjectKind.PRIORITY_CLASS: PriorityClassSpec,
    ObjectKind.MEMBER_LIMIT: MemberLimitSpec,
    ObjectKind.DRAIN: DrainSpec,
    ObjectKind.ENGINE_ROLE: EngineRoleSpec,
    ObjectKind.RECORD_GROUP: RecordGroupSpec,
    ObjectKind.OPERATOR: OperatorSpec,
}
