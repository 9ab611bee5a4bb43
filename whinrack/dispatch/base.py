"""Interface between the pipeline and the protocol of callers and targets."""

from whinrack.dispatch._statements import TargetStatement
from whinrack.dispatch._values import Attempt, IncomingRequest
from whinrack.exceptions import Refusal
from whinrack.http1 import Headers, RequestHead, ResponseHead

__all__ = ["Dialect"]


class Dialect:
    """Translates between protocol messages and the values of the pipeline.

    It takes no routing or retry decisions.
    """

    def parse_request(self, head: RequestHead, body: bytes) -> IncomingRequest:
        """Parse a caller's request.

        Raises
        ------
        BadRequest
        """
        raise NotImplementedError

    def refusal_response(
        self, refusal: Refusal, request: IncomingRequest | None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of the response to a refused request."""
        raise NotImplementedError

    def attempt_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of the request that is sent to a target."""
        raise NotImplementedError

    def is_response_to(self, request: IncomingRequest, headers: Headers) -> bool:
        """Return whether an answer belongs to a request."""
        raise NotImplementedError

    def parse_statement(self, head: ResponseHead) -> TargetStatement:
        """Return what the head of an answer states about its target."""
        raise NotImplementedError
