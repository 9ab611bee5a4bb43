"""Connection handler of the WSGI server, with a timeout for slow headers."""

import eventlet
from eventlet.wsgi import HttpProtocol

__all__ = ["CallerProtocol"]


class CallerProtocol(HttpProtocol):
    """Closes connections with slow headers, and keep-alive ones once the router leaves."""

    header_timeout = 10.0
    is_leaving = False

    def parse_request(self) -> bool:
        """Read the request line and headers within `header_timeout`.

        Returns
        -------
        bool
            False if they were malformed or too slow.
        """
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
