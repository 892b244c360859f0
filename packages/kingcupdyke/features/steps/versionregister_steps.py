"""
versionregister_steps
~~~~~~~~~~~~~~~~~~~~~

Steps for the register of software versions and the processes of endpoints, in virtual time.
"""

from behave import then, when
from forwarding_builders import make_entry

from kingcupdyke.forwarding.endpointtable import EndpointTable
from kingcupdyke.forwarding.softwareversions import SoftwareVersions
from kingcupdyke.forwarding.versionregister import VersionRegister


class RegisterScript:
    """A gateway's register, its endpoint table and the time; each endpoint is named by its version.

    :ivar stored: what the store holds
    """

    def __init__(self):
        self.table = EndpointTable()
        self.register = VersionRegister(self.table)
        self.now_s = 0.0
        self.stored = SoftwareVersions()
        self.usable = []

    def run(self, events):
        for event in events.split(";"):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_list(self, versions):
        entries = [make_entry(each, software_version=each) for each in versions.split(",")]
        self.table.replace_all(entries, self.now_s, False)

    def do_list_change(self, removed):
        self.table.remove(removed, self.now_s, False)

    def do_put(self, version):
        self.table.put(make_entry(version, software_version=version))

    def do_gap(self):
        self.table.note_gap()

    def do_wait(self, seconds):
        self.table.drop_expired(self.now_s)
        self.now_s += float(seconds)
        self.table.drop_expired(self.now_s)

    def do_timeout(self, seconds):
        self.register.note_timeout(float(seconds))

    def do_caller(self, seconds):
        self.register.note_caller_timeout(float(seconds))

    def do_write(self, versions):
        names = versions.split(",")
        retiring = frozenset(each[:-1] for each in names if each.endswith("-"))
        self.stored = SoftwareVersions(frozenset(each.rstrip("-") for each in names), retiring)

    def do_read(self, versions=None):
        self.stored = SoftwareVersions()
        if versions:
            self.do_write(versions)
        self.register.apply("service", self.stored, self.now_s)

    def do_begin(self):
        states = list(self.table.state_by_id.values())
        selected = self.register.select("service", states, self.now_s)
        self.usable = sorted(each.entry.software_version for each in selected)

    def do_suspend(self):
        self.register.suspend("service")

    def do_resume(self):
        self.register.resume("service")

    def do_forget(self):
        self.register.forget_unlisted(self.now_s)

    def do_prune(self):
        if self.register.is_prune_due("service", self.now_s):
            self.register.apply("service", self.stored, self.now_s)
            self.stored = self.register.prune("service", self.stored, self.now_s)
            self.register.apply("service", self.stored, self.now_s)
        self.register.forget_unlisted(self.now_s)

    def do_start(self, started_ms, heartbeat):
        entry = make_entry("e1", started_ms=int(started_ms), heartbeat=int(heartbeat))
        self.table.put(entry, self.now_s)

    def do_copy(self, started_ms, heartbeat):
        entry = make_entry("e1", started_ms=int(started_ms), heartbeat=int(heartbeat))
        self.table.put(entry)


@when('versionregister: "{events}" happens')
def run_events(context, events):
    context.script = RegisterScript()
    context.script.run(events)


@then('versionregister: the version that began the stream is "{version}"')
def check_version(context, version):
    inference = context.script.register.infer("service", context.script.now_s)
    assert (inference.software_version or "unknown") == version, inference
    assert bool(inference.reason) == (version == "unknown"), inference


@then('versionregister: streams may begin at "{usable}", and "{wanted}" are to be added')
@then('versionregister: streams may begin at "{usable}", and "" are to be added')
@then('versionregister: streams may begin at "", and "{wanted}" are to be added')
@then('versionregister: streams may begin at "", and "" are to be added')
def check_usable(context, usable="", wanted=""):
    script = context.script
    assert " ".join(script.usable) == usable, script.usable
    assert " ".join(sorted(script.register.list_wanted("service"))) == wanted


@then('versionregister: the register is "{register}"')
def check_register(context, register):
    stored = context.script.stored
    found = [f"{each}-" if each in stored.retiring else each for each in sorted(stored.versions)]
    assert ",".join(found) == register, stored


@then("versionregister: registers are decoded as they were encoded, and other bytes are rejected")
def check_round_trip(context):
    for each in (SoftwareVersions(), SoftwareVersions(frozenset(("", "v1")), frozenset(("v1",)))):
        assert SoftwareVersions.decode(each.encode()).ok == each
    for value in (b"x", b"[]", b"{}", b'{"versions":[1],"retiring":[]}', b'{"versions":["v1"]}'):
        assert SoftwareVersions.decode(value).is_error(), value


@then(
    "versionregister: a stream that e1 began at start 1 and second {at_s:g} has a {known} process"
)
def check_process(context, at_s, known):
    is_certain = context.script.table.starts.was_running("e1", 1, at_s)
    assert is_certain == (known == "certain"), is_certain
