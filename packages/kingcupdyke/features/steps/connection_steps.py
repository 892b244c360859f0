"""
connection_steps
~~~~~~~~~~~~~~~~

Steps for stalled connections.
"""

from random import Random

from behave import then, when

from kingcupdyke.connection import ConnectionMachine, PeerDown, StallDetector

TICK_S = 0.25
NAMES_BY_CLASS = {"OpenNew": "open", "Close": "close", "SendBeat": "beat", "PeerUp": "up"}


def name_command(command):
    if isinstance(command, PeerDown):
        return "down"
    return f"{NAMES_BY_CLASS[type(command).__name__]}{command.generation}"


@then('connection that observes "{script}" is "{state}"')
def check_state(context, script, state):
    detector = StallDetector(0.5, 2.0)
    now_s = 100.0
    found = detector.check(now_s)
    for word in script.split():
        if word.startswith("pause="):
            now_s += float(word[6:])
            found = detector.check(now_s)
        elif word.startswith("+"):
            for _ in range(int(float(word) / TICK_S)):
                now_s += TICK_S
                found = detector.check(now_s)
        else:
            getattr(detector, word)(now_s)
    assert found == state, found


class ScriptRunner:
    """Applies a script of events to a connection machine and collects its commands."""

    def __init__(self):
        self.machine = ConnectionMachine("e1", Random(7), 0.5, 2.0)
        self.now_s = 100.0
        self.commands = []

    def run(self, word):
        name, _, argument = word.partition("=")
        if name == "up":
            for each in ["+0", "opened=1", "sent", "received=1", "sent"]:
                self.run(each)
            self.commands = []
        elif name.startswith("+"):
            self.advance(float(name))
        elif name == "pause":
            self.now_s += float(argument)
            self.commands += self.machine.tick(self.now_s)
        elif name == "sent":
            self.machine.sent(int(argument or self.machine.generation), self.now_s)
        else:
            event = {"failed": "open_failed"}.get(name, name)
            self.commands += getattr(self.machine, event)(int(argument), self.now_s)

    def advance(self, seconds):
        """Advance in ticks; each commanded beat counts as sent."""
        for _ in range(max(1, int(seconds / TICK_S))):
            self.now_s += TICK_S if seconds else 0.0
            commands = self.machine.tick(self.now_s)
            names = [name_command(each) for each in commands]
            self.commands += commands
            if any(name.startswith("beat") for name in names):
                self.machine.sent(self.machine.generation, self.now_s)


@when('connection runs "{script}"')
def run_script(context, script):
    context.runner = ScriptRunner()
    for word in script.split():
        context.runner.run(word)


@then('connection commanded "{commands}"')
def check_commands(context, commands):
    found = [name_command(each) for each in context.runner.commands]
    relevant = [each for each in found if each != "beat1"] if "beat1" not in commands else found
    assert relevant == commands.split(), found


@then("connection counts the peer as {state}")
def check_peer(context, state):
    machine = context.runner.machine
    found = "up" if machine.is_up else "down" if machine.is_down else "trying"
    assert found == state, found
    assert machine.accepts(machine.generation) == (state == "up")
    assert not machine.accepts(machine.generation - 1)


@then("connection backs off {count:d} times, from {first:g} s to {max_s:g} s, and is then reset")
def check_backoffs(context, count, first, max_s):
    machine = ConnectionMachine("e1", Random(7), 0.5, 2.0, 0.5, 15.0)
    backoffs = []
    now_s = 0.0
    for index in range(count):
        machine.tick(now_s)
        (down,) = machine.open_failed(machine.generation, now_s)
        assert machine.tick(now_s + down.retry_after_s * 0.99) == []
        now_s += down.retry_after_s
        backoffs.append(down.retry_after_s)
        bound_s = min(first * 2**index, max_s)
        assert bound_s / 2 <= down.retry_after_s <= bound_s, backoffs
    assert len(set(backoffs)) == count
    # A connection that worked resets the backoff.
    machine.tick(1000.0)
    machine.opened(machine.generation, 1000.0)
    machine.received(machine.generation, 1000.0)
    (down,) = machine.closed(machine.generation, 1000.0)
    assert down.retry_after_s <= first, down
