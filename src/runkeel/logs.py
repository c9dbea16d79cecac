"""Structured logs by loguru: one line for each change of state, never one a request."""

from __future__ import annotations

import json
import sys
from typing import Any

from loguru import logger

from runkeel.settings import LogSettings

_TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level: <7} {extra[node]} {extra[code]} {message}"


def configure_logs(settings: LogSettings, node_id: str, zone: str) -> None:
    """Send log lines to standard error in the format that the settings ask for."""
    logger.remove()
    logger.configure(extra={"node": node_id, "zone": zone, "code": ""})
    level = settings.level.upper()
    if settings.format == "text":
        logger.add(sys.stderr, level=level, format=_TEXT_FORMAT)
    else:
        logger.add(_write_json_line, level=level)


def _write_json_line(message: Any) -> None:
    record = message.record
    line: dict[str, Any] = {
        "time": record["time"].isoformat(),
        "level": record["level"].name.lower(),
        "message": record["message"],
        "module": record["name"],
    }
    line.update(record["extra"])
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(json.dumps(line, default=str) + "\n")
