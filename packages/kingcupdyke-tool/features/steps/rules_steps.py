"""
rules_steps
~~~~~~~~~~~

Steps for checking, applying and showing rules.
"""

from anyio import run
from behave import given, then, when
from expression import Error

from kingcupdyke.changelog import encode_change, get_change_name
from kingcupdyke.config import ConfigChange
from kingcupdyke.error import Failure, Outcome, Step
from kingcupdyke.rulesnapshot import RuleSnapshot, diff_snapshots
from kingcupdyke_tool.rules import ApplyRequest, apply_rules, show_history, show_rules
from kingcupdyke_wire.configlog import apply_change, read_config
from kingcupdyke_wire.memorystore import MemoryStoreClient
from kingcupdyke_wire.rulefile import check_rule_file


def make_line(name):
    return f'- {{caller: {name}, token_sha256: "{name.encode().hex():0>64}"}}  # {name} asked\n'


#: Rule files of the versions 1 to 3.
TEXTS = [make_line("app"), make_line("app") + make_line("desk")]
TEXTS.append(TEXTS[1] + make_line("late"))
FILES = {"same": TEXTS[2], "more": TEXTS[2] + make_line("more"), "broken": "- {caller: a}\n"}


class FaultyStore(MemoryStoreClient):
    """A store that simulates a fault when the next change is written."""

    fault = "nothing fails"

    async def put(self, kind, name, value, if_version):
        fault, self.fault = self.fault, "nothing fails"
        if fault == "another writer is first":
            rival = ConfigChange(int(name), f"{int(name)}-r", "Rival", (), ("caller/app",))
            await super().put(kind, get_change_name(int(name)), encode_change(rival), 0)
        written = await super().put(kind, name, value, if_version)
        self.down = fault == "the answer is lost, the store is down"
        if fault.startswith("the answer"):
            return Error(Failure(Outcome.UNKNOWN, Step.STORE, "store", "timeout"))
        return written


@given("tool rules are in force at version 3")
def give_rules(context):
    async def fill():
        old = RuleSnapshot({})
        for version, author in enumerate(("Jana", "Jana", "Petr"), start=1):
            new = check_rule_file(TEXTS[version - 1]).ok.rule_snapshot
            change_id = f"{version}-{'abc'[version - 1]}"
            await apply_change(
                context.store, change_id, author, version - 1, diff_snapshots(old, new)
            )
            old = new

    context.store = FaultyStore()
    run(fill)


@when('tool rules "{file}" made from {base} are applied while {fault}')
def apply_file(context, file, base, fault):
    source, _, version = base.partition(" ")
    header = f"# {base.replace(' ', ': ')}\n" if source == "version" else ""
    base_version = int(version) if source == "base" else None
    request = ApplyRequest("rules.yaml", header + FILES[file], "Eva", base_version, "e")
    context.store.down = fault == "the store is down"
    context.store.fault = fault
    context.report = run(apply_rules, context.store, request)


@when('tool history runs for "{change_id}" while {fault}')
def run_history(context, change_id, fault):
    context.store.down = fault == "the store is down"
    change_id = "" if change_id == "none" else change_id
    context.report = run(show_history, context.store, change_id)


@when("tool rules are shown and applied with one more line")
def show_and_apply(context):
    text = run(show_rules, context.store).text + "\n" + make_line("more")
    context.report = run(
        apply_rules, context.store, ApplyRequest("rules.yaml", text, "Eva", None, "e")
    )


@then('tool rules end with code {code:d}, print "{text}" and the store is at version {version:d}')
def check_report(context, code, text, version):
    assert context.report.code == code, context.report
    assert text in context.report.text, context.report.text
    context.store.down = False
    assert run(read_config, context.store).ok[0] == version
