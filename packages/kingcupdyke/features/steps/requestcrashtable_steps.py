"""
requestcrashtable_steps
~~~~~~~~~~~~~~~~~~~~~~~

Steps for the crashes under requests.
"""

from time import perf_counter

from behave import then, when

from kingcupdyke.forwarding.crashreport import CrashMessage, RequestCrash
from kingcupdyke.forwarding.peermessage import MessageKind, pack_message
from kingcupdyke.forwarding.requestcrashtable import RequestCrashTable

REQUEST = "a1b2"


class RequestCrashScript:
    """A table and the time; runs scripts of events on them."""

    def __init__(self):
        self.table = RequestCrashTable()
        self.now_s = 10.0

    def run(self, events):
        for event in events.split("; "):
            word, *rest = event.split()
            getattr(self, f"do_{word}")(*rest)

    def do_crash(self, process, sent_s, crashed_s, request=REQUEST):
        endpoint, _, started_ms = process.partition("/")
        run_s = float(crashed_s) - float(sent_s)
        age_s = self.now_s - float(crashed_s)
        crash = RequestCrash(request, endpoint, int(started_ms or 1), run_s, age_s)
        self.table.record(crash, self.now_s)

    def do_other(self, process, sent_s, crashed_s):
        self.do_crash(process, sent_s, crashed_s, "other")

    def do_sound(self, sound_s):
        self.table.note_sound(REQUEST, self.now_s, self.now_s - float(sound_s))

    def do_wait(self, seconds):
        self.now_s = 3.0 + float(seconds)
        self.table.drop_expired(self.now_s)


@when('requestcrashtable: "{events}" happens')
def run_events(context, events):
    context.script = RequestCrashScript()
    context.script.run(events)


@then("requestcrashtable: the request is {state}")
def check_state(context, state):
    script = context.script
    expires_s = script.table.find_expiry(REQUEST, script.now_s)
    assert (expires_s is not None) == (state == "rejected"), expires_s


@when("requestcrashtable: {count:d} other requests are at one crash each")
def record_others(context, count):
    add_others(context.script.table, count)


def add_others(table, count):
    for number in range(count):
        table.record(RequestCrash(f"other{number}", "e9", number, 0.1, 0.0), 10.0)


@then("requestcrashtable: {count:d} requests are known")
def check_count(context, count):
    crashes = context.script.table.list_crashes(context.script.now_s)
    assert len({each.request for each in crashes}) == count


def measure_answers(known, answers):
    """:return: seconds that recording answers takes, the least of several runs"""
    table = RequestCrashTable()
    add_others(table, known)
    times_s = []
    for _ in range(5):
        started_s = perf_counter()
        for number in range(answers):
            table.note_sound(f"other{number % known}", 20.0)
        times_s.append(perf_counter() - started_s)
    return min(times_s)


@then(
    "requestcrashtable: {answers:d} answers with {many:d} requests known take less than twice the "
    "time with {few:d}, and {limit_ms:g} ms each"
)
def check_time(context, answers, many, few, limit_ms):
    many_s, few_s = measure_answers(many, answers), measure_answers(few, answers)
    assert many_s < 2 * few_s, (many_s, few_s)
    assert many_s / answers * 1000 < limit_ms, many_s


@then("requestcrashtable: its message is the same after decoding")
def check_round_trip(context):
    table, now_s = context.script.table, context.script.now_s
    crashes, sound = tuple(table.list_crashes(now_s)), tuple(table.list_sound(now_s))
    assert len(crashes) == 2
    assert len(sound) == 1
    message = CrashMessage("entry-n1", (), (), crashes, sound)
    assert CrashMessage.decode(message.encode()).ok == message


@then("requestcrashtable: a message without such fields is decoded too")
def check_earlier(context):
    fields = {"sender": "entry-n1", "reports": [], "sound_parts": []}
    message = CrashMessage.decode(pack_message(MessageKind.CRASHES, fields)).ok
    assert message == CrashMessage("entry-n1", (), ())
