"""Writing of buffered log lines and periodic log events."""

import eventlet

from whinrack.clock import SuspendDetector
from whinrack.edge._traffic import TrafficMeter
from whinrack.gossip import GossipLink
from whinrack.observability import BoundedLogWriter, Event, log_event
from whinrack.store import MeteredStore

__all__ = ["Upkeep"]

_WRITE_INTERVAL_SECONDS = 0.1
_TRAFFIC_LOG_INTERVAL_SECONDS = 20.0


class Upkeep:
    """Writes buffered log lines, and logs dropped lines, suspensions and traffic.

    Parameters
    ----------
    output : BoundedLogWriter
    traffic : TrafficMeter
    store : MeteredStore
    link : GossipLink
    """

    def __init__(
        self, output: BoundedLogWriter, traffic: TrafficMeter, store: MeteredStore, link: GossipLink
    ):
        self.output = output
        self.traffic = traffic
        self.store = store
        self.link = link
        self._reported_drops = 0

    def write_logs_forever(self) -> None:
        """Write buffered lines; log dropped lines and suspensions of the machine."""
        suspend_detector = SuspendDetector()
        while True:
            suspended_seconds = suspend_detector.take_suspended_seconds()
            if suspended_seconds:
                log_event(Event.MACHINE_SUSPENDED, seconds=round(suspended_seconds, 3))
            self.output.write_pending()
            if self.output.dropped_lines > self._reported_drops:
                log_event(
                    Event.LINES_DROPPED, count=self.output.dropped_lines - self._reported_drops
                )
                self._reported_drops = self.output.dropped_lines
            eventlet.sleep(_WRITE_INTERVAL_SECONDS)

    def log_traffic_forever(self) -> None:
        """Log the traffic periodically until the process ends."""
        while True:
            eventlet.sleep(_TRAFFIC_LOG_INTERVAL_SECONDS)
            self.log_traffic()

    def log_traffic(self) -> None:
        """Log the traffic between this instance and others since its start."""
        log_event(
            Event.TRAFFIC,
            sent=self.traffic.summary(),
            calls=self.store.format_calls(),
            values=self.store.format_bytes(),
            malformed=self.link.malformed_count,
        )
