"""
connection_steps
~~~~~~~~~~~~~~~~

Steps for silent connections.
"""

from random import Random

from behave import then, when

from kingcupdyke.connection import ConnectionMachine, PeerDown, SilenceDetector

TICK_S = 0.25
NAMES_BY_CLASS = {"OpenNew": "open", "Close": "close", "SendBeat": "beat", "PeerUp": "up"}


def name_command(command):
    if isinstance(command, PeerDown):
        return "down"
    return f"{NAMES_BY_CLASS[type(command).__name__]}{command.generation}"


@then('connection that watches "{script}" is "{state}"')
def check_state(context, script, state):
    detector = SilenceDetector(0.5, 2.0)
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


class Player:
    """Plays a script of events to a machine and collects its commands."""

    def __init__(self):
        self.machine = ConnectionMachine("e1", Random(7), 0.5, 2.0)
        self.now_s = 100.0
        self.commands = []

    def play(self, word):
        name, _, argument = word.partition("=")
        if name == "up":
            for each in ["+0", "opened=1", "sent", "heard=1", "sent"]:
                self.play(each)
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
        """Tick on; a beat is not sent again while one that was commanded is out."""
        for _ in range(max(1, int(seconds / TICK_S))):
            self.now_s += TICK_S if seconds else 0.0
            commands = self.machine.tick(self.now_s)
            names = [name_command(each) for each in commands]
            self.commands += commands
            if any(name.startswith("beat") for name in names):
                self.machine.sent(self.machine.generation, self.now_s)


@when('connection plays "{script}"')
def play_script(context, script):
    context.player = Player()
    for word in script.split():
        context.player.play(word)


@then('connection commanded "{commands}"')
def check_commands(context, commands):
    found = [name_command(each) for each in context.player.commands]
    quiet = [each for each in found if each != "beat1"] if "beat1" not in commands else found
    assert quiet == commands.split(), found


@then("connection counts the peer as {state}")
def check_peer(context, state):
    machine = context.player.machine
    found = "up" if machine.is_up else "down" if machine.is_down else "trying"
    assert found == state, found
    assert machine.accepts(machine.generation) == (state == "up")
    assert not machine.accepts(machine.generation - 1)


@then("connection backs off {count:d} times, from {first:g} s to {most:g} s, and then anew")
def check_backoffs(context, count, first, most):
    machine = ConnectionMachine("e1", Random(7), 0.5, 2.0, 0.5, 15.0)
    backoffs = []
    now_s = 0.0
    for index in range(count):
        machine.tick(now_s)
        (down,) = machine.open_failed(machine.generation, now_s)
        assert machine.tick(now_s + down.retry_after_s * 0.99) == []
        now_s += down.retry_after_s
        backoffs.append(down.retry_after_s)
        bound_s = min(first * 2**index, most)
        assert bound_s / 2 <= down.retry_after_s <= bound_s, backoffs
    assert len(set(backoffs)) == count
    # Once it worked, it begins anew.
    machine.tick(1000.0)
    machine.opened(machine.generation, 1000.0)
    machine.heard(machine.generation, 1000.0)
    (down,) = machine.closed(machine.generation, 1000.0)
    assert down.retry_after_s <= first, down
