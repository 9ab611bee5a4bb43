"""What the pipeline needs of the protocol that callers and targets speak."""

from whinrack.dispatch._statements import TargetStatement
from whinrack.dispatch._values import Attempt, IncomingRequest
from whinrack.exceptions import Refusal
from whinrack.http1 import Headers, RequestHead, ResponseHead

__all__ = ["Dialect"]


class Dialect:
    """Translates heads of requests and answers; takes no decision."""

    def parse_request(self, head: RequestHead, body: bytes) -> IncomingRequest:
        """Read a caller's request.

        Raises
        ------
        BadRequest
        """
        raise NotImplementedError

    def refusal_response(
        self, refusal: Refusal, request: IncomingRequest | None
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body that tell a caller of a refusal."""
        raise NotImplementedError

    def attempt_headers(self, attempt: Attempt) -> Headers:
        """Return the headers of a request to a target."""
        raise NotImplementedError

    def is_response_to(self, request: IncomingRequest, headers: Headers) -> bool:
        """Whether an answer belongs to a request."""
        raise NotImplementedError

    def parse_statement(self, head: ResponseHead) -> TargetStatement:
        """Return what an answer states of the target that gave it."""
        raise NotImplementedError
