"""Limits and time-outs of the rollout service of one node."""

from __future__ import annotations

from dataclasses import dataclass

MEBIBYTE = 1024 * 1024


@dataclass(frozen=True, slots=True)
class RolloutOptions:
    """Bounds of memory and time.

    Attributes:
        maximum_steps: open steps that this node owns.
        maximum_tasks_per_step: tasks in one step.
        maximum_step_bytes: size of a submitted step, in bytes.
        maximum_steps_bytes: prompts of all open steps together, in characters.
        maximum_open_samples: samples that are being made or wait for delivery on this node.
        maximum_stored_samples: samples held here, replicas for other nodes included.
        maximum_stored_bytes: their token ids together, in bytes.
        maximum_batch_samples: samples in one entry.
        maximum_batch_bytes: token ids in one entry, in bytes.
        maximum_wait_seconds: longest long poll.
        batch_linger_seconds: how long a pull waits for more samples after the first.
        records_timeout_seconds: for one decision or read of a delivery entry.
        peer_timeout_seconds: for one call to another node.
        generation_timeout_seconds: for one generation, resumptions included.
        minimum_in_flight: generations per model that may run however little slack is seen.
        retry_base_seconds, retry_limit_seconds: backoff of a task whose attempt failed.
        scoring_concurrency: calls to scorers at once.
        scoring_concurrency_per_scorer: calls to one scorer at once.
        scoring_timeout_seconds: for one call to a scorer.
        scoring_attempts: calls for one sample before the attempt counts as failed.
        hedge_tasks: a step's last tasks that may be run twice when engines idle; 0 turns it off.
        hedge_after_ratio: a task is duplicated after this multiple of the median duration.
        checkpoint_interval_seconds: how often checkpoints of long samples are sent.
        checkpoint_minimum_tokens: least length of a checkpoint.
        checkpoint_growth: a further checkpoint is this many times as long as the last.
        maximum_checkpoints: checkpoints held for other nodes.
        maximum_checkpoint_bytes: their token ids together, in bytes.
        step_idle_seconds: an open step that nobody asks for is forgotten after this time.
        finished_step_seconds: a step that was delivered whole is forgotten after this time.
        move_after_seconds: how long another node must be a step's owner before it gets the step.
        move_grace_seconds: how long an earlier owner goes on with what it had begun.
        planner_interval_seconds: longest time between two turns of the planner.
        first_token_allowance_seconds: assumed delay between an engine and this node.
        log_segment_bytes, log_maximum_bytes: of the sample log on disk.
    """

    maximum_steps: int = 32
    maximum_tasks_per_step: int = 8_192
    maximum_step_bytes: int = 8 * MEBIBYTE
    maximum_steps_bytes: int = 48 * MEBIBYTE
    maximum_open_samples: int = 4_096
    maximum_stored_samples: int = 16_384
    maximum_stored_bytes: int = 96 * MEBIBYTE
    maximum_batch_samples: int = 256
    maximum_batch_bytes: int = 4 * MEBIBYTE
    maximum_wait_seconds: float = 60.0
    batch_linger_seconds: float = 0.05
    records_timeout_seconds: float = 3.0
    peer_timeout_seconds: float = 2.0
    generation_timeout_seconds: float = 1_800.0
    minimum_in_flight: int = 4
    retry_base_seconds: float = 0.1
    retry_limit_seconds: float = 5.0
    scoring_concurrency: int = 64
    scoring_concurrency_per_scorer: int = 16
    scoring_timeout_seconds: float = 10.0
    scoring_attempts: int = 6
    hedge_tasks: int = 4
    hedge_after_ratio: float = 3.0
    checkpoint_interval_seconds: float = 1.0
    checkpoint_minimum_tokens: int = 64
    checkpoint_growth: float = 1.25
    maximum_checkpoints: int = 4_096
    maximum_checkpoint_bytes: int = 16 * MEBIBYTE
    step_idle_seconds: float = 1_800.0
    finished_step_seconds: float = 300.0
    planner_interval_seconds: float = 0.25
    move_after_seconds: float = 5.0
    move_grace_seconds: float = 60.0
    first_token_allowance_seconds: float = 1.0
    log_segment_bytes: int = 8 * MEBIBYTE
    log_maximum_bytes: int = 256 * MEBIBYTE
