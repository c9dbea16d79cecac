"""Adapter for the platform's scorers."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence

from geventhttpclient import HTTPClient

from runkeel.api.machines import Address
from runkeel.errors import ErrorCode, RunkeelError

_PATH = "/v1/score"
_MAXIMUM_ANSWER_BYTES = 65_536


class ScorerClient:
    """Calls scorers over HTTP; a connection for each call."""

    def score(
        self,
        address: Address,
        sample_id: str,
        prompt: str,
        token_ids: Sequence[int],
        timeout_seconds: float,
    ) -> float:
        """Return the score of a sample.

        Raises:
            RunkeelError: SCORER_FAILED when the scorer did not answer in time, refused, or
                answered for another sample.
        """
        body = json.dumps({"sample_id": sample_id, "prompt": prompt, "token_ids": list(token_ids)})
        client = HTTPClient(
            address.host,
            address.port,
            connection_timeout=timeout_seconds,
            network_timeout=timeout_seconds,
            concurrency=1,
        )
        try:
            response = client.post(
                _PATH, body.encode(), headers={"Content-Type": "application/json"}
            )
            status = response.status_code
            answer = response.read(_MAXIMUM_ANSWER_BYTES)
        except Exception as error:  # the client raises many kinds, of sockets and of parsers
            raise RunkeelError(
                ErrorCode.SCORER_FAILED, f"{address}: {type(error).__name__}: {error}"
            ) from error
        finally:
            client.close()
        if status != 200:
            raise RunkeelError(ErrorCode.SCORER_FAILED, f"{address}: status {status}")
        return _parse(answer, sample_id, address)


def _parse(answer: bytes, sample_id: str, address: Address) -> float:
    try:
        content = json.loads(answer)
        answered_id, score = content["sample_id"], float(content["score"])
    except (ValueError, KeyError, TypeError) as error:
        raise RunkeelError(ErrorCode.SCORER_FAILED, f"{address}: broken answer") from error
    if answered_id != sample_id:
        raise RunkeelError(ErrorCode.SCORER_FAILED, f"{address}: answer for another sample")
    if not math.isfinite(score):
        raise RunkeelError(ErrorCode.SCORER_FAILED, f"{address}: score is not finite")
    return score
