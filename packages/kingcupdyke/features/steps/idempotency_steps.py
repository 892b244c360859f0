"""
idempotency_steps
~~~~~~~~~~~~~~~~~

Steps for claiming and settling idempotency keys, with simulated sidecars and a faulty store.
"""

from behave import then, when
from checks import run_machine
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from hypothesis.strategies import integers, sampled_from
from key_fakes import FATES, MAX_RUNNING_S, FakeSidecar, SharedState

from kingcupdyke.claimresult import Unclaimed, WriteBucket
from kingcupdyke.idempotency import BucketMachine, ClaimMachine, SettleMachine
from kingcupdyke.keyrecord import KeyBucket, KeyRecord, KeyState, record_key


def make_record(key="k", attempt_id="A1", **fields):
    return KeyRecord("secretary", key, "b", attempt_id, "A", "A-1", **fields)


def run_event(shared, sidecars, word):
    name, _, argument = word.partition("=")
    if name == "late":
        shared.store.deliver_late_writes()
        return
    if name == "wait":
        shared.now_s += float(argument)
        return
    sidecar, verb = sidecars[name[0]], name[2:]
    actions_by_verb = {
        "submit": lambda: sidecar.submit(*(argument or "b").split(",")),
        "again": lambda: sidecar.submit_again(argument),
        "all": sidecar.step_all,
        "run": lambda: sidecar.run(argument),
        "finish": lambda: sidecar.finish(argument),
        "finish_long": lambda: sidecar.finish(argument, b"x" * 100_000),
        "failed": lambda: sidecar.fail(argument, is_answered=True),
        "lose": lambda: sidecar.fail(argument),
        "die": sidecar.die,
        "gone": lambda: setattr(sidecar.worker, "gone_incarnations", frozenset([argument])),
    }
    if verb in FATES:
        assert sidecar.step(verb), f"{word}: no store command is pending"
    else:
        actions_by_verb[verb]()


@when('idempotency runs the script "{script}"')
def run_script(context, script):
    context.shared = SharedState()
    sidecars = {name: FakeSidecar(name, context.shared) for name in "AB"}
    for word in script.split():
        run_event(context.shared, sidecars, word)


@then('idempotency returned "{results}"')
def check_results(context, results):
    given = context.shared.results_by_attempt
    found = {attempt_id: type(result).__name__ for attempt_id, result in given.items()}
    assert found == dict(word.split("=") for word in results.split()), found


@then("idempotency ran {runs}")
def check_runs(context, runs):
    found = [attempt_id for attempt_id, _ in context.shared.runs]
    assert found == [each for each in runs.split() if each != "none"], found


@then('idempotency replays status {status:d} with "{answer}" to {attempt_id}')
def check_replay(context, status, answer, attempt_id):
    record = context.shared.results_by_attempt[attempt_id].record
    found = (record.status, record.content_type, record.answer, record.truncated)
    assert found == (status, "text/plain", answer.encode(), False), found


@then('idempotency rejects {attempt_id} as "{outcome}" at "{step}" with a time to retry after')
def check_rejection(context, attempt_id, outcome, step):
    failure = context.shared.results_by_attempt[attempt_id].failure
    assert (failure.outcome, failure.step) == (outcome, step), failure
    assert failure.retry_after_s > 0, failure


@when("idempotency gets {count:d} conflicts for a claim")
def get_conflicts(context, count):
    context.machine = ClaimMachine("0", [make_record()])
    context.machine.start()
    context.command = context.machine.bucket_read(None, 0)
    for version in range(1, count + 1):
        assert isinstance(context.command, WriteBucket), context.command
        context.command = context.machine.bucket_conflict(KeyBucket.empty(), version)


@then("idempotency rejects the claim with nothing to settle")
def check_given_up(context):
    assert context.command is None, context.command
    assert isinstance(context.machine.results_by_attempt["A1"], Unclaimed)
    assert context.machine.to_settle == []


@when("idempotency claims in a bucket that is full and settles a record there")
def claim_in_full(context):
    records = [make_record(f"key-{index:05}" + "x" * 200, "C1") for index in range(1555)]
    bucket = KeyBucket({record_key(each.caller, each.key): each for each in records})
    settlement = records[0]._replace(state=KeyState.UNKNOWN)
    context.machine = BucketMachine("0", [make_record()], [settlement])
    context.machine.start()
    context.command = context.machine.bucket_read(bucket, 7)


@then("idempotency rejects the claim and writes the settlement")
def check_full(context):
    assert isinstance(context.machine.results_by_attempt["A1"], Unclaimed)
    records = context.command.bucket.records_by_key.values()
    assert [each.state for each in records].count(KeyState.UNKNOWN) == 1
    assert len(records) == 1555
    assert context.machine.bucket_written(8) is None
    assert context.machine.unsettled == []


@when('idempotency settles a record in state "{stored}" of {holder} attempt as "{settled}"')
def settle_record(context, stored, holder, settled):
    record = make_record(attempt_id="A2" if holder == "another" else "A1", state=stored)
    if holder == "a namesake":
        record = record._replace(incarnation="A-0")
    bucket = KeyBucket({record_key(record.caller, record.key): record})
    machine = SettleMachine("0", [make_record(state=settled)])
    machine.start()
    command = machine.bucket_read(bucket, 3)
    context.bucket = command.bucket if command else bucket


@then('idempotency leaves it in state "{kept}"')
def check_settled(context, kept):
    (record,) = context.bucket.records_by_key.values()
    assert record.state == kept, record


class AtMostOnceMachine(RuleBasedStateMachine):
    """Random tests: sidecars that share one store, with every fault at any time."""

    def __init__(self):
        super().__init__()
        self.shared = SharedState()
        self.sidecars = [FakeSidecar(name, self.shared) for name in "ABC"]

    @rule(index=integers(0, 2), key=sampled_from(["k", "l", "m"]), body=sampled_from("bbbc"))
    def submit(self, index, key, body):
        self.sidecars[index].submit(body, key)

    @rule(index=integers(0, 2), fate=sampled_from(("ok", "ok", "ok", *FATES)))
    def step(self, index, fate):
        self.sidecars[index].step(fate)

    @rule(index=integers(0, 2))
    def step_all(self, index):
        self.sidecars[index].step_all()

    @rule(index=integers(0, 2), verb=sampled_from(["run", "finish", "fail", "submit_again"]))
    def act(self, index, verb):
        sidecar = self.sidecars[index]
        for attempt_id in list(sidecar.machines)[-2:]:
            age_s = self.shared.now_s - sidecar.records[attempt_id].claimed_unix_s
            if verb != "submit_again" or age_s < MAX_RUNNING_S:
                getattr(sidecar, verb)(attempt_id)

    @rule(index=integers(0, 2))
    def run_claimed(self, index):
        sidecar = self.sidecars[index]
        for attempt_id in sorted(sidecar.machines.keys() & set(self.shared.claims)):
            sidecar.run(attempt_id)

    @rule(index=integers(0, 2))
    def die(self, index):
        self.sidecars[index].die()

    @rule()
    def late(self):
        self.shared.store.deliver_late_writes()

    @rule(seconds=sampled_from([1.0, 30.0, 700.0]))
    def wait(self, seconds):
        self.shared.now_s += seconds

    @invariant()
    def runs_at_most_once(self):
        keys = [key for _, key in self.shared.runs]
        assert len(keys) == len(set(keys)), self.shared.runs

    @invariant()
    def claims_once(self):
        assert len(self.shared.claims) == len(set(self.shared.claims)), self.shared.claims

    @invariant()
    def rejected_attempts_never_ran(self):
        ran = {attempt_id for attempt_id, _ in self.shared.runs}
        assert not ran & self.shared.rejected, (ran, self.shared.rejected)

    def teardown(self):
        """Once the store is available and all late writes have arrived, all claims are settled."""
        for _ in range(2):
            self.shared.store.deliver_late_writes()
            for sidecar in self.sidecars:
                sidecar.step_all()
        assert [each.worker.unsettled for each in self.sidecars] == [0, 0, 0]


@then("idempotency keeps its invariants in the state machine")
def check_machine(context):
    run_machine(AtMostOnceMachine, steps=60)
