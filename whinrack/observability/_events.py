"""Structured log events, each with a number; `docs/events.md` lists them.

Event fields never contain secrets or text sent by callers.
"""

import sys
from enum import Enum
from typing import TextIO

import msgspec
from loguru import logger

__all__ = ["Event", "configure_logging", "log_event"]


class Event(Enum):
    """Log events with their number, log level and text.

    The lower-case member name is written into JSON log lines as `name`.
    """

    ROUTER_STARTED = (1001, "INFO", "router started")
    ROUTER_STOPPING = (1002, "INFO", "graceful shutdown started")
    ROUTER_STOPPED = (1003, "INFO", "graceful shutdown complete")
    STOP_INCOMPLETE = (
        1004,
        "WARNING",
        "graceful shutdown ended before all bills were stored and tokens returned",
    )
    TASK_FAILED = (1005, "ERROR", "background task failed and will be retried")
    REQUEST_FAILED = (1006, "ERROR", "internal error while handling a request")

    MACHINE_SUSPENDED = (1010, "WARNING", "machine resumed after being suspended")

    SETTINGS_RELOADED = (1007, "INFO", "settings file reloaded")
    LINES_DROPPED = (1008, "WARNING", "log lines dropped by the rate or queue limit")
    SETTINGS_INVALID = (
        1009,
        "ERROR",
        "settings file is invalid; the previous settings stay in effect",
    )

    PLATFORM_LOST = (2001, "WARNING", "platform does not respond")
    PLATFORM_BACK = (2002, "INFO", "platform responds again")
    STORE_ERA = (2003, "INFO", "store reported its era")
    STORE_RESTORED = (2004, "WARNING", "store was restored from a backup without its latest writes")
    LIST_REFUSED = (
        2005,
        "WARNING",
        "ignored a list that is older than the revision already followed",
    )
    STORE_REPLY_LOST = (2006, "INFO", "no reply from the store; result of the repeated call")
    STORE_ERA_INVALID = (2007, "WARNING", "era in an answer of the store cannot be parsed")

    CONFIG_TAKEN = (3001, "INFO", "configuration changed")
    CONFIG_INVALID = (3002, "ERROR", "invalid object; its last valid version stays in effect")
    FEED_CHANGED = (3003, "INFO", "configuration source changed")
    KNOWLEDGE_FETCHED = (
        3004,
        "INFO",
        "fetched configuration and targets from a peer with a newer configuration",
    )

    HALL_EMPTIED = (3005, "INFO", "data hall emptied: its targets receive no more requests")
    HALL_BACK = (3006, "INFO", "data hall back in use")

    MEMBER_JOINED = (4001, "INFO", "peer joined")
    MEMBER_LOST = (4002, "WARNING", "peer lost")
    CROWDED = (4006, "INFO", "instance became, or is no longer, far busier than its peers")
    ENTRIES_REMEMBERED = (
        4007,
        "WARNING",
        "most of the fleet is not heard; callers are sent to the instances last heard",
    )
    ENTRIES_HEARD = (4008, "INFO", "callers are sent to instances that are heard again")
    PEER_REFUSED = (4003, "WARNING", "rejected a peer call without the fleet key")

    TARGET_LEAVING = (5001, "INFO", "target is leaving and receives no new requests")
    TARGET_EJECTED = (5002, "WARNING", "target ejected by this instance")
    ANSWER_CUT = (5003, "WARNING", "target closed its response early")
    ANSWER_FOREIGN = (5004, "ERROR", "target responded with the id of another request")
    COVER_EXCEEDED = (
        5005,
        "ERROR",
        "target exceeded the reserved tokens; its request was cancelled",
    )

    REQUEST_SUSPECTED = (9001, "INFO", "several targets terminated while running the same request")
    REQUEST_QUARANTINED = (
        9002,
        "WARNING",
        "request quarantined: targets terminated while running it",
    )
    QUARANTINE_ENDED = (9003, "INFO", "request released from quarantine")
    QUARANTINE_TRIAL = (9004, "INFO", "trial run of a quarantined request allowed")
    QUARANTINE_READ = (9005, "INFO", "read quarantined requests from the store")
    QUARANTINE_NOT_KEPT = (
        9006,
        "WARNING",
        "could not read or write quarantined requests in the store",
    )
    QUARANTINE_UNREADABLE = (9007, "ERROR", "stored quarantine data cannot be decoded")
    QUARANTINE_AWAITED = (9008, "INFO", "request waited until its blame was decided")

    TARGETS_COLD = (5007, "INFO", "cold targets of a pool, and this instance's share of their rate")

    TARGET_LIMITED = (5008, "INFO", "target changed its stated request limit")

    TARGET_BACKOFF = (5009, "INFO", "target asked this instance to back off")

    FIELD_UNKNOWN = (5010, "WARNING", "unknown field in a response of a target or the store")

    TARGET_CUT = (5006, "INFO", "target cut responses; result of checking whether it still runs")

    POOL_LOST = (5011, "WARNING", "new connections to the targets of a pool fail")
    POOL_REACHED = (5012, "INFO", "a lost pool is reached again")

    TARGET_BRITTLE = (5013, "INFO", "target changed its statement that refusals make it fall over")

    TARGET_REACHED = (5016, "INFO", "target that a peer reported as ended is reached from here")
    BRITTLE_TARGET_FULL = (5015, "WARNING", "brittle target refused a request for lack of room")
    TARGET_PROBE_REFUSED = (5017, "INFO", "target refused a health check for lack of room")
    POOL_DOUBTED = (5019, "INFO", "pool is not known to be reached, or is known again")
    TARGET_ANSWERED_EARLY = (5023, "INFO", "target answered before it was sent the whole request")
    PEERS_LOST = (5021, "WARNING", "new connections to several peers fail")
    PEERS_REACHED = (5022, "INFO", "a peer answers a forwarded request again")
    POOL_CHECKED = (5018, "INFO", "check of a pool ended without an answer to its first probe")
    TARGET_ENDED = (5014, "INFO", "target seems to have ended; its software version is unknown")

    GRANT_CLOSED = (6001, "ERROR", "an operator released this incarnation's grant")
    BILL_UNCONFIRMED = (6002, "WARNING", "response ended before its bill record was stored")
    POLICY_FAILED = (6003, "WARNING", "routing program failed; the default route decision applies")
    EARLIER_RUNS_RELEASED = (
        6004,
        "INFO",
        "released earlier runs: written off/freed @max seconds of use",
    )
    BOOKS_KNOWN = (
        6005,
        "INFO",
        "budgets: spendable/usable here/free/held/billed/limit @age",
    )
    RESERVE_HELD = (6006, "INFO", "a short budget keeps tokens for more urgent requests")
    RESERVE_ENDED = (6007, "INFO", "a budget keeps no more tokens for more urgent requests")
    TRAFFIC = (8001, "INFO", "messages:bytes between instances, and calls to the store")

    REQUEST_ANSWERED = (7001, "INFO", "complete target response forwarded")
    REQUEST_REFUSED = (7002, "INFO", "request refused")
    ANSWER_BROKEN_OFF = (7003, "WARNING", "response aborted and connection closed")
    CALLER_LEFT = (7004, "INFO", "caller disconnected before its response was complete")
    ATTEMPT_FAILED = (7005, "WARNING", "attempt at a target failed")
    COVER_REFUSED = (7006, "INFO", "could not reserve tokens for a request")
    COVER_COUNTED = (
        7007,
        "INFO",
        "outcome of a request is unknown; all its reserved tokens are charged",
    )
    REQUEST_FORWARDED = (7008, "INFO", "answer of a peer to a forwarded request relayed")
    FORWARDING_FAILED = (7009, "WARNING", "a peer did not serve a forwarded request")
    STREAM_CONTINUED = (7011, "INFO", "looked up where a continued stream began")
    CONNECTIONS_SHED = (
        7012,
        "WARNING",
        "closed connections of callers for lack of memory or sockets",
    )
    FORWARDED_RECEIVED = (7010, "INFO", "received a request that a peer forwards")

    def __init__(self, number: int, level: str, text: str):
        self.number = number
        self.level = level
        self.text = text


class LogLine(msgspec.Struct):
    """A log line in JSON format."""

    time: str
    level: str
    event: int
    name: str
    text: str
    fields: dict[str, str]


def log_event(event: Event, **fields: object) -> None:
    """Log an event at its level; field values are converted with `str`."""
    bound_logger = logger.bind(
        event=event, fields={key: str(value) for key, value in fields.items()}
    )
    bound_logger.log(event.level, event.text)


def configure_logging(level: str, json_lines: bool, sink: TextIO | None = None) -> None:
    """Write logs as text or JSON lines to a sink, by default standard error.

    Replaces all handlers that were configured before.
    """
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
