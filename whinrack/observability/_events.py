"""Logs as numbered events; `docs/events.md` is their catalogue.

Secrets and callers' text are never fields of an event.
"""

import sys
from enum import Enum
from typing import TextIO

import msgspec
from loguru import logger

__all__ = ["Event", "configure_logging", "log_event"]


class Event(Enum):
    """Every event: number, level and text."""

    ROUTER_STARTED = (1001, "INFO", "router started")
    ROUTER_STOPPING = (1002, "INFO", "planned stop begins")
    ROUTER_STOPPED = (1003, "INFO", "planned stop done")
    STOP_INCOMPLETE = (1004, "WARNING", "planned stop ended before everything was given back")
    TASK_FAILED = (1005, "ERROR", "a background task failed and is tried again")
    REQUEST_FAILED = (1006, "ERROR", "a request failed inside whinrack")

    MACHINE_SUSPENDED = (1010, "WARNING", "the machine was suspended and is awake again")

    SETTINGS_RELOADED = (1007, "INFO", "settings file read again")
    LINES_DROPPED = (1008, "WARNING", "log lines left out to keep the volume bounded")
    SETTINGS_INVALID = (1009, "ERROR", "settings file is invalid, the last good one stays in force")

    PLATFORM_LOST = (2001, "WARNING", "platform doesn't answer")
    PLATFORM_BACK = (2002, "INFO", "platform answers again")
    STORE_ERA = (2003, "INFO", "the store names its era")
    STORE_RESTORED = (2004, "WARNING", "the store came back from a copy without its latest writes")
    LIST_REFUSED = (2005, "WARNING", "a list is behind what was followed here")

    CONFIG_TAKEN = (3001, "INFO", "configuration changed")
    CONFIG_INVALID = (3002, "ERROR", "invalid object met, the last good version stays in force")
    FEED_CHANGED = (3003, "INFO", "configuration comes from another source")
    KNOWLEDGE_FETCHED = (3004, "INFO", "a peer with a newer configuration told what it knows")

    HALL_EMPTIED = (3005, "INFO", "data hall emptied: its targets get nothing more")
    HALL_BACK = (3006, "INFO", "data hall is in use again")

    MEMBER_JOINED = (4001, "INFO", "peer seen")
    MEMBER_LOST = (4002, "WARNING", "peer lost")
    CROWDED = (4006, "INFO", "far more requests are open here than at the peers, or no longer")
    PEER_REFUSED = (4003, "WARNING", "call without the fleet's key refused")

    TARGET_LEAVING = (5001, "INFO", "target is leaving")
    TARGET_EJECTED = (5002, "WARNING", "target set aside by this instance")
    ANSWER_CUT = (5003, "WARNING", "target's answer ended early")
    ANSWER_FOREIGN = (5004, "ERROR", "target answered with another request's id")
    COVER_EXCEEDED = (5005, "ERROR", "target went past the cover and was cancelled")

    REQUEST_SUSPECTED = (9001, "INFO", "several targets ended with one request")
    REQUEST_QUARANTINED = (9002, "WARNING", "request ends targets and goes to no more")
    QUARANTINE_ENDED = (9003, "INFO", "request is no longer kept out")
    QUARANTINE_TRIAL = (9004, "INFO", "one run of a request that is kept out is let through")
    QUARANTINE_READ = (9005, "INFO", "requests to keep out were read from the store")
    QUARANTINE_NOT_KEPT = (9006, "WARNING", "requests to keep out could not be written or read")
    QUARANTINE_UNREADABLE = (9007, "ERROR", "stored requests to keep out can't be read")

    TARGETS_COLD = (5007, "INFO", "targets of a pool that are cold, and the share of them here")

    TARGET_LIMITED = (5008, "INFO", "a target states another limit of requests than before")

    TARGET_BACKOFF = (5009, "INFO", "a target told this instance to back off")

    FIELD_UNKNOWN = (5010, "WARNING", "targets or the store state something that is not known here")

    TARGET_CUT = (5006, "INFO", "target cut answers; whether it is still there")

    GRANT_CLOSED = (6001, "ERROR", "this incarnation's grant was released by an operator")
    BILL_UNCONFIRMED = (6002, "WARNING", "answer ended before its bill was kept")
    POLICY_FAILED = (6003, "WARNING", "routing program failed, the default applies")
    EARLIER_RUNS_RELEASED = (6004, "INFO", "earlier runs: written off/freed @seconds used at most")
    BOOKS_KNOWN = (
        6005,
        "INFO",
        "budgets: spendable/usable here/free/held/billed/limit @age",
    )
    TRAFFIC = (8001, "INFO", "messages:bytes moved between instances, and calls to the store")

    REQUEST_ANSWERED = (7001, "INFO", "a target's answer was passed on whole")
    REQUEST_REFUSED = (7002, "INFO", "request refused")
    ANSWER_BROKEN_OFF = (7003, "WARNING", "answer ended early, connection closed")
    CALLER_LEFT = (7004, "INFO", "caller left before its answer was whole")
    ATTEMPT_FAILED = (7005, "WARNING", "an attempt at a target failed")
    COVER_REFUSED = (7006, "INFO", "tokens of a request could not be set aside")
    COVER_COUNTED = (7007, "INFO", "end of a request's run is unknown, its cover counts in full")

    def __init__(self, number: int, level: str, text: str):
        self.number = number
        self.level = level
        self.text = text


class LogLine(msgspec.Struct):
    """One log line in JSON form."""

    time: str
    level: str
    event: int
    name: str
    text: str
    fields: dict[str, str]


def log_event(event: Event, **fields: object) -> None:
    """Log an event with its fields."""
    bound_logger = logger.bind(
        event=event, fields={key: str(value) for key, value in fields.items()}
    )
    bound_logger.log(event.level, event.text)


def configure_logging(level: str, json_lines: bool, sink: TextIO | None = None) -> None:
    """Send logs as text or JSON lines to a sink, by default standard error."""
    logger.remove()
    logger.add(sink or sys.stderr, level=level, format=_format_json if json_lines else _format_text)


def _format_text(record) -> str:
    event, fields = record["extra"].get("event"), record["extra"].get("fields", {})
    number = event.number if event else 0
    field_text = " ".join(f"{key}={value}" for key, value in fields.items())
    record["extra"]["line"] = f"W{number} {record['message']} {field_text}".rstrip()
    return "{time:YYYY-MM-DDTHH:mm:ss.SSS!UTC}Z {level} {extra[line]}\n"


def _format_json(record) -> str:
    event, fields = record["extra"].get("event"), record["extra"].get("fields", {})
    line = LogLine(
        time=record["time"].isoformat(),
        level=record["level"].name,
        event=event.number if event else 0,
        name=event.name.lower() if event else "",
        text=record["message"],
        fields=fields,
    )
    record["extra"]["line"] = msgspec.json.encode(line).decode()
    return "{extra[line]}\n"
