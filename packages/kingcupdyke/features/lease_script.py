"""
lease_script
~~~~~~~~~~~~

Simulated processes that compete for a lease, each with its own clock, and their store.
"""

from fake_engine import FakeStore

from kingcupdyke.lease import LeaseMachine
from kingcupdyke.leaserecord import ReadLease

#: Offset of each process's clock.
OFFSETS_S = {"p": 0.0, "q": 1000.0, "r": -500.0}


class LeaseScript:
    """Runs the events of a scenario on the processes.

    Events are separated by semicolons; an argument for names takes several, separated by commas.
    """

    def __init__(self):
        self.store = FakeStore()
        self.now_s = 0.0
        self.machines = {name: LeaseMachine("l", name, 10.0, 3.0) for name in OFFSETS_S}
        self.commands = {}
        self.answers = {}

    def run(self, events):
        for event in events.split(";"):
            name, *words = event.split()
            getattr(self, name)(*words)

    def clock(self, name):
        return self.now_s + OFFSETS_S[name]

    def numbers(self):
        numbers = [each.fence_at(self.clock(name)) for name, each in self.machines.items()]
        return " ".join(str(each or "-") for each in numbers)

    def tick(self, names):
        for name in names.split(","):
            command = self.machines[name].tick(self.clock(name))
            if command is not None:
                assert name not in self.commands, "two commands in flight"
                self.commands[name] = command

    def execute(self, name):
        """The store executes the command; its answer is in flight."""
        command = self.commands.pop(name)
        if not isinstance(command, ReadLease):
            self.answers[name] = self.store.put("l", command.record, command.if_version)
        elif self.store.is_down:
            self.answers[name] = "down", None, 0
        else:
            self.answers[name] = "read", *self.store.get("l")

    def answer(self, name):
        outcome, record, version = self.answers.pop(name)
        machine, now_s = self.machines[name], self.clock(name)
        if outcome == "written":
            command = machine.lease_written(version, now_s)
        elif outcome in ("down", "unknown"):
            command = machine.store_failed(now_s, outcome == "unknown")
        else:
            event = {"read": machine.lease_read, "conflict": machine.lease_conflict}[outcome]
            command = event(record, version, now_s)
        if command is not None:
            self.commands[name] = command

    def step(self, names):
        for name in names.split(","):
            self.execute(name)
            self.answer(name)

    def fail(self, name):
        """A command does not reach the store, and its outcome is unknown to the process."""
        self.commands.pop(name)
        self.machines[name].store_failed(self.clock(name), True)

    def delay_answer(self, name, seconds):
        """Time passes while an answer is in flight."""
        for _ in range(int(seconds)):
            self.now_s += 1
            self.tick(name)

    def advance(self, names, seconds):
        """Processes tick each second, and the store answers them immediately."""
        for _ in range(int(seconds)):
            self.tick(names)
            for name in names.split(","):
                while name in self.commands:
                    self.step(name)
            self.now_s += 1

    def expect_idle(self, name, seconds):
        for _ in range(int(seconds)):
            self.now_s += 1
            self.tick(name)
            assert name not in self.commands, self.commands

    def stray(self, name):
        assert self.machines[name].lease_written(7, self.clock(name)) is None

    def wait(self, seconds):
        self.now_s += float(seconds)

    def down(self):
        self.store.is_down = True

    def up(self):
        self.store.is_down = False

    def lose(self):
        self.store.loses_answers = True

    def delete(self):
        del self.store.objects["l"]

    def restart(self, name):
        self.machines[name] = LeaseMachine("l", name, 10.0, 3.0)

    def release(self, name):
        command = self.machines[name].release(self.clock(name))
        if command is not None:
            assert name not in self.commands, "two commands in flight"
            self.commands[name] = command
