"""The WSGI runner's connection handler, with a bound on slow headers."""

import eventlet
from eventlet.wsgi import HttpProtocol

__all__ = ["CallerProtocol"]


class CallerProtocol(HttpProtocol):
    """Closes connections whose headers take too long, and kept ones of a leaving router."""

    header_timeout = 10.0
    is_leaving = False

    def parse_request(self) -> bool:
        """Read the headers within the time allowed."""
        timeout = eventlet.Timeout(self.header_timeout)
        try:
            parsed = super().parse_request()
            if self.is_leaving:
                self.close_connection = True
            return parsed
        except eventlet.Timeout as raised:
            if raised is not timeout:
                raise
            self.close_connection = True
            self.wfile.write(b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n")
            return False
        finally:
            timeout.cancel()
