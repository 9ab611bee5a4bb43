"""Stand-in for the connection of a quarantine to peers and the store."""

from whinrack.quarantine import QuarantineHost

__all__ = ["ConnectedHost"]


class ConnectedHost(QuarantineHost):
    """Host whose messages reach the peers in `reachable` at once.

    Subclasses set `quarantine` and `case_store`.

    Attributes
    ----------
    reachable : list of ConnectedHost
    store_answers : bool
        Whether the store is known to answer.
    """

    def __init__(self, name):
        self.name = name
        self.reachable = []
        self.store_answers = True

    def send_to_owners(self, case):
        self.send_to_all([case])

    def send_to_all(self, cases):
        for peer in self.reachable:
            missing = peer.quarantine.merge_cases(cases, self.name)
            if missing:
                self.quarantine.merge_cases(missing, peer.name)

    def is_store_reachable(self):
        return self.store_answers

    def schedule_save(self):
        self.case_store.write(self.quarantine.table.suspect_cases())
