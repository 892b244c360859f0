"""
kingcupdyke.forwarding.missedchange
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Decides when a process has missed a change of the store that its peers know.
"""

__all__ = ["MissedChange"]

#: Seconds for which a change may be known to a peer only: its watch and the own one are answered at
#: about the same time, and changes may be gathered for some tenths of a second.
MISSED_AFTER_S = 0.5
#: Seconds between two checks whether changes were missed.
CHECK_INTERVAL_S = 2.0


class MissedChange:
    """Compares the position up to which a watch has read with those of changes that peers name."""

    def __init__(self) -> None:
        #: Greatest position that a peer has named.
        self._named = 0
        #: The position that has to be read before the end of the delay, or 0.
        self._awaited = 0
        self._due_s = 0.0

    def note(self, position: int) -> None:
        """Note the position of a change that a peer knows."""
        self._named = max(self._named, position)

    def is_due(self, position: int, now_s: float) -> bool:
        """Check whether the store has to be asked again; if so, this counts as done.

        :param position: position up to which all changes are known here
        :param now_s: time in seconds
        """
        if self._awaited <= position:
            self._awaited = self._named if self._named > position else 0
            self._due_s = max(self._due_s, now_s + MISSED_AFTER_S)
            return False
        if now_s < self._due_s:
            return False
        # The next check is later, if the position is not reached by this one.
        self._awaited = 0
        self._due_s = now_s + CHECK_INTERVAL_S
        return True
