"""Error boundaries: an internal error in one step is logged, and the steps after it still run."""

import contextlib
import traceback
from collections.abc import Callable
from typing import Any

TRACE_FRAMES = 3


def run_contained(
    log: Callable[..., None], msgid: str, function: Callable[..., Any], /, *arguments: Any, **log_fields: Any
) -> bool:
    """Call the function. An exception is logged with log_fields and not raised. Returns whether there was none."""
    try:
        function(*arguments)
    except Exception as error:  # noqa: BLE001 - this is the boundary for all of them
        log_error(log, msgid, error, **log_fields)
        return False
    return True


def log_error(log: Callable[..., None], msgid: str, error: BaseException, **log_fields: Any) -> None:
    """Log an internal error with the innermost frames of its traceback. Never raises, also where the log does."""
    with contextlib.suppress(Exception):
        log("error", msgid, f"internal error: {error!r}", trace=format_trace(error), **log_fields)


def format_trace(error: BaseException) -> str:
    """The innermost frames of the traceback, innermost first, on one line."""
    frames = traceback.extract_tb(error.__traceback__)[-TRACE_FRAMES:]
    return " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(frames))
