"""The WSGI application: dispatches paths to endpoints and turns failures into answers."""

from collections.abc import Callable, Iterator

from whinrack.exceptions import (
    BadRequest,
    InternalFailure,
    NoSuchPath,
    Refusal,
    TargetUnavailable,
)
from whinrack.observability import Event, log_event
from whinrack.requests import RequestIdentity, new_request_id
from whinrack.server._auth import Authenticator
from whinrack.server._chat import ChatEndpoint
from whinrack.server._context import ServerContext
from whinrack.server._http import (
    KEY_HEADER,
    HttpAnswer,
    HttpRequest,
    error_answer,
)
from whinrack.server._operations import OperationsEndpoint
from whinrack.server._services import SERVICES_PREFIX, ServiceEndpoint

__all__ = ["Application"]


class Application:
    """WSGI application that answers callers.

    Parameters
    ----------
    context : ServerContext
        Components of the daemon.
    """

    def __init__(self, context: ServerContext):
        self.context = context
        self._authenticator = Authenticator(context.config)
        self._operations = OperationsEndpoint(context)
        self._chat = ChatEndpoint(context)
        self._services = ServiceEndpoint(context)

    def __call__(self, environ: dict, start_response: Callable) -> "CountedBody":
        """Serve one WSGI request."""
        http = self.context.settings.http
        request = HttpRequest(environ, http.body_limit, http.body_timeout)
        self.context.state.in_progress += 1
        try:
            answer = self._answer(request)
            start_response(answer.status_line, answer.headers)
        except BaseException:
            self.context.state.in_progress -= 1
            raise
        return CountedBody(self.context, answer)

    def _answer(self, request: HttpRequest) -> HttpAnswer:
        identity = None
        try:
            operation = self._answer_operation(request)
            if operation is not None:
                return operation
            if self.context.state.is_closed:
                raise TargetUnavailable("this instance has stopped", retry_after=1.0)
            endpoint = self._endpoint(request)
            caller = self._authenticator.identify(request)
            identity = RequestIdentity.from_header(
                caller.workspace_name, request.header(KEY_HEADER)
            )
            return endpoint.handle(request, caller, identity)
        except Refusal as refusal:
            self.context.metrics.refusals.labels(refusal.code).inc()
            request_id = identity.request_id if identity else new_request_id()
            return error_answer(refusal, request_id)
        except Exception as error:
            log_event(Event.REQUEST_FAILED, error=type(error).__name__)
            self.context.metrics.refusals.labels("internal").inc()
            request_id = identity.request_id if identity else new_request_id()
            return error_answer(InternalFailure("internal error in whinrack"), request_id)

    def _answer_operation(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer a request for an operational endpoint; None if it is not one."""
        if request.method != "GET":
            return None
        match request.path:
            case "/v1/entry":
                return self._operations.entry(request)
            case "/v1/status":
                return self._operations.status(request)
            case "/healthz":
                return self._operations.health()
            case "/readyz":
                return self._operations.ready()
            case "/metrics":
                return self._operations.metrics()
            case "/v1/models":
                self._authenticator.identify(request)
                return self._operations.models()
        return None

    def _endpoint(self, request: HttpRequest) -> ChatEndpoint | ServiceEndpoint:
        if request.path.startswith(SERVICES_PREFIX):
            return self._services
        if request.path == "/v1/chat/completions":
            if request.method != "POST":
                raise BadRequest("the method: allowed is POST")
            return self._chat
        raise NoSuchPath("no endpoint has this path")


class CountedBody:
    """An answer body; its request counts as in progress until the server closes it."""

    def __init__(self, context: ServerContext, answer: HttpAnswer):
        self.context = context
        self.answer = answer
        self._is_open = True

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.answer.body)

    def close(self) -> None:
        """Close the answer's body; the WSGI server always calls this."""
        if not self._is_open:
            return
        self._is_open = False
        self.context.state.in_progress -= 1
        close = getattr(self.answer.body, "close", None)
        if close is not None:
            close()
