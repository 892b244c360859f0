"""
fake_residency
~~~~~~~~~~~~~~

Simulated endpoints that hold a model, and planners that concurrently change its record.
"""

from fake_engine import FakeStore

from kingcupdyke.hand_over import HandOverMachine, MayStop, RequestLoad
from kingcupdyke.removal import (
    ReadResidency,
    RemovalMachine,
    RemovalRefused,
    Removed,
)
from kingcupdyke.residency import (
    Holder,
    ResidencyRecord,
    add_holder,
    count_staying,
    drop_incarnation,
)


class FakeResidency:
    """The actual holders of one model, and its residency record in the store.

    :param needed: holders that the rules require
    :param names: endpoints; each runs on the host of the same name
    """

    def __init__(self, needed, names):
        self.needed = needed
        self.store = FakeStore()
        #: Incarnation of each endpoint's engine; an endpoint that has stopped has none.
        self.incarnations = dict.fromkeys(names, 1)
        self.resident = set()
        #: Hosts that the possibly stale host list shows as leaving.
        self.listed_leaving = set()
        self.removals = {}
        self.hand_overs = {}
        self.requested = 0

    @property
    def record(self):
        return self.store.get("m")[0] or ResidencyRecord("m", {})

    def holder(self, name):
        return Holder(str(self.incarnations[name]), name, "dc", "region")

    def load(self, name):
        """Load the model and add the holder, as a sidecar does after the engine confirmed."""
        self.resident.add(name)
        return self.change(lambda record: add_holder(record, name, self.holder(name)))

    def change(self, decide):
        """Change the record by a conditional update.

        :return: whether the store confirmed the write
        """
        _, version = self.store.get("m")
        return self.store.put("m", decide(self.record), version)[0] == "written"

    def kill(self, name):
        """The endpoint's engine loses its memory; the record still names the endpoint."""
        self.resident.discard(name)

    def notice(self, name, is_gone):
        """The end of an incarnation is detected and the endpoint removed from the record."""
        ended = str(self.incarnations[name])
        if self.change(lambda record: drop_incarnation(record, name, ended)):
            self.incarnations[name] += 1
            if is_gone:
                del self.incarnations[name]
            return True
        return False

    def begin_unload(self, planner, name):
        machine = RemovalMachine("m", name, self.needed, frozenset(self.listed_leaving))
        self.removals[planner] = (machine, machine.start(), name)

    def step_unload(self, planner):
        """Execute the next command of a planner's removal.

        :return: its state: "pending", "unloaded", "refused" or "down"
        """
        machine, command, name = self.removals[planner]
        if isinstance(command, ReadResidency):
            record, version = self.store.get("m")
            following = machine.residency_read(record, version)
        else:
            following = self._write(machine, command)
        if isinstance(following, Removed):
            self.resident.discard(name)
        if following is None or isinstance(following, Removed | RemovalRefused):
            del self.removals[planner]
            return {Removed: "unloaded", RemovalRefused: "refused"}.get(type(following), "down")
        self.removals[planner] = (machine, following, name)
        return "pending"

    def _write(self, machine, command, head=(), tail=()):
        """:return: the machine's next command, or None while the store is down"""
        outcome, *found = self.store.put("m", command.record, command.if_version)
        if outcome == "down":
            return None
        event = getattr(machine, f"residency_{outcome}")
        return event(*head, *(found if outcome == "conflict" else ()), *tail)

    def begin_hand_over(self, name, bound_s, now_s):
        needed = {"m": self.needed} if name in self.resident else {}
        machine = HandOverMachine(name, name, needed, bound_s)
        self.hand_overs[name] = (machine, machine.start(now_s))

    def step_hand_over(self, name, now_s):
        """:return: the final command of the hand-over, or None while it is in progress"""
        machine, commands = self.hand_overs[name]
        following = []
        for command in commands or machine.tick(now_s):
            if isinstance(command, MayStop):
                del self.hand_overs[name]
                self.kill(name)
                self.incarnations.pop(name)
                return command
            if isinstance(command, RequestLoad):
                self.requested = command.replicas
            elif isinstance(command, ReadResidency):
                following += machine.residency_read("m", *self.store.get("m"), now_s)
            else:
                following += self._write(machine, command, ("m",), (now_s,)) or []
        self.hand_overs[name] = (machine, following)
        return None

    @property
    def staying(self):
        """:return: number of confirmed holders on hosts that the record does not mark as leaving"""
        return count_staying(self.record, ())
