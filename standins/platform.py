"""Stand-in for the platform: object API with watches, and an instance list that can lag.

Faults are set by ``PUT /faults`` with any of: ``down`` (respond to all calls with 503), ``delay``
(seconds before each call), ``lose_replies`` (number of coming writes that take effect but are
answered with 500), ``watch_lag`` and ``list_lag`` (seconds). ``GET /counts`` returns the number of
calls by operation. Data is kept in memory only.
"""

import argparse
import json
import sys
import time
from urllib.parse import parse_qs

import eventlet
from eventlet.event import Event

from standins._wsgi import Reply, listen, read_body, respond, serve

eventlet.monkey_patch()

_MAX_HISTORY = 5000


class PlatformState:
    """Objects, their change history, the instance list and the active faults."""

    def __init__(self):
        self.revision = 0
        self.objects: dict[tuple[str, str], dict] = {}
        self.history: list[tuple[float, dict]] = []
        self.instances: dict[str, list[tuple[float, dict | None]]] = {}
        self.faults = {
            "down": False,
            "delay": 0.0,
            "lose_replies": 0,
            "watch_lag": 0.0,
            "list_lag": 0.0,
        }
        self.counts: dict[str, int] = {}
        self._changed = Event()

    def count(self, operation: str) -> None:
        """Count one call of an operation."""
        self.counts[operation] = self.counts.get(operation, 0) + 1

    def record(self, entry: dict) -> None:
        """Append a change to the history and wake waiting watches."""
        self.history.append((time.monotonic(), entry))
        del self.history[:-_MAX_HISTORY]
        event, self._changed = self._changed, Event()
        event.send(None)

    def put(self, kind, name, value, version):
        """Write an object if `version` is its current version, else raise Reply with 409."""
        self._check_version(kind, name, version)
        self.revision += 1
        entry = {"kind": kind, "name": name, "version": self.revision, "value": value}
        self.objects[kind, name] = entry
        self.record(entry)
        return entry

    def delete(self, kind, name, version):
        """Delete an object if `version` is its current version, else raise Reply with 409."""
        self._check_version(kind, name, version)
        self.objects.pop((kind, name), None)
        self.revision += 1
        entry = {"kind": kind, "name": name, "version": self.revision, "deleted": True}
        self.record(entry)

    def _check_version(self, kind, name, version):
        current = self.objects.get((kind, name))
        at = 0 if current is None else current["version"]
        if version != at:
            raise Reply(409, current)

    def watch(self, kinds, since, wait):
        """Return the changes after a revision; wait up to `wait` seconds for the first one."""
        end = time.monotonic() + wait
        while True:
            batch = self._build_batch(kinds, since)
            remaining = end - time.monotonic()
            if batch["objects"] or batch["gap"] or remaining <= 0 or self.faults["down"]:
                return batch
            lag = self.faults["watch_lag"]
            with eventlet.Timeout(min(remaining, 0.05 if lag else remaining), False):
                self._changed.wait()

    def _build_batch(self, kinds, since):
        visible_until = time.monotonic() - self.faults["watch_lag"]
        oldest = self.history[0][1]["version"] if self.history else 1
        visible_entries = [entry for at, entry in self.history if at <= visible_until]
        revision = max([since, *(entry["version"] for entry in visible_entries)])
        return {
            "revision": revision,
            "gap": since + 1 < oldest or since > self.revision,
            "objects": [e for e in visible_entries if e["version"] > since and e["kind"] in kinds],
        }

    def list_instances(self):
        """Return the instance list as it was `list_lag` seconds ago."""
        visible_until = time.monotonic() - self.faults["list_lag"]
        rows = []
        for states in self.instances.values():
            shown = [record for at, record in states if at <= visible_until]
            if shown and shown[-1] is not None:
                rows.append(shown[-1])
        return rows

    def set_instance(self, name, record):
        """Set the record of an instance; None removes the instance."""
        self.instances.setdefault(name, []).append((time.monotonic(), record))


STATE = PlatformState()


def application(environ, start_response):
    """Handle one request (WSGI application)."""
    path, method = environ["PATH_INFO"], environ["REQUEST_METHOD"]
    body = read_body(environ)
    try:
        if path == "/faults":
            STATE.faults.update(json.loads(body))
            return respond(start_response, 200, STATE.faults)
        if path == "/counts":
            return respond(start_response, 200, STATE.counts)
        if path.startswith("/v1/instances/"):
            STATE.set_instance(path.split("/")[3], json.loads(body) if body else None)
            return respond(start_response, 200, {})
        if STATE.faults["down"]:
            raise Reply(503)
        eventlet.sleep(STATE.faults["delay"])
        return respond(start_response, 200, _handle_call(method, path, environ, body))
    except Reply as reply:
        return respond(start_response, reply.status, reply.value)


def _handle_call(method, path, environ, body):
    query = {key: values[0] for key, values in parse_qs(environ.get("QUERY_STRING", "")).items()}
    kinds = query.get("kinds", "").split(",")
    if path == "/v1/instances":
        STATE.count("instances")
        return STATE.list_instances()
    if path == "/v1/watch":
        STATE.count("watch")
        return STATE.watch(kinds, int(query["since"]), float(query["wait"]))
    if path == "/v1/objects":
        STATE.count("list")
        objects = [entry for entry in STATE.objects.values() if entry["kind"] in kinds]
        return {"revision": STATE.revision, "objects": objects}
    _, _, _, kind, name = path.split("/", 4)
    if method == "GET":
        STATE.count("get")
        if (kind, name) not in STATE.objects:
            raise Reply(404)
        return STATE.objects[kind, name]
    return _handle_write(method, kind, name, body, int(environ["HTTP_IF_MATCH"]))


def _handle_write(method, kind, name, body, version):
    STATE.count("write")
    STATE.count(f"write {kind}")
    if method == "PUT":
        result = STATE.put(kind, name, json.loads(body), version)
    else:
        result = STATE.delete(kind, name, version) or {}
    if STATE.faults["lose_replies"] > 0:
        STATE.faults["lose_replies"] -= 1
        raise Reply(500)
    return result


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    serve(application, listen(parser.parse_args(sys.argv[1:]).port))
