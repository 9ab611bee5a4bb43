"""Stand-in for a plain service: echoes each request and records its start.

``GET /starts`` lists the started requests. ``PUT /faults`` sets ``delay`` (seconds), ``status``
(of responses) and ``cut`` (close the connection without a response after the start).
"""

import argparse
import hashlib
import json
import socket
import sys

import eventlet

from standins._wsgi import listen, read_body, respond, serve

eventlet.monkey_patch()

STARTS: list[dict] = []
FAULTS = {"delay": 0.0, "status": 200, "cut": False}


def application(environ, start_response):
    """Handle one request (WSGI application)."""
    path, body = environ["PATH_INFO"], read_body(environ)
    if path == "/faults":
        FAULTS.update(json.loads(body))
        return respond(start_response, 200, FAULTS)
    if path == "/starts":
        return respond(start_response, 200, STARTS)
    if path == "/load":
        return respond(start_response, 200, {"running": 0, "waiting": 0, "at": 0})
    request_id = environ.get("HTTP_X_REQUEST_ID", "")
    STARTS.append({"id": request_id, "path": path, "method": environ["REQUEST_METHOD"]})
    eventlet.sleep(FAULTS["delay"])
    if FAULTS["cut"]:
        environ["eventlet.input"].get_socket().shutdown(socket.SHUT_RDWR)
        return []
    value = {
        "path": path,
        "query": environ.get("QUERY_STRING", ""),
        "method": environ["REQUEST_METHOD"],
        "digest": hashlib.sha256(body).hexdigest(),
        "start": len(STARTS),
        "kept": environ.get("HTTP_X_KEPT", ""),
    }
    headers = [("X-Service", "echo"), ("X-Request-Id", request_id)]
    return respond(start_response, FAULTS["status"], value, headers)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, default=0)
    serve(application, listen(parser.parse_args(sys.argv[1:]).port))
