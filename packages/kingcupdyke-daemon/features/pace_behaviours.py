"""
pace_behaviours
~~~~~~~~~~~~~~~

How endpoints behave that start or recover, in virtual time.
"""

from math import inf

SLOTS = 32
DURATION_S = 0.1
IN_TIME_S = 0.5
PROMPT_TOKENS = 1000
TOKENS_PER_S = 20_000
ENDPOINTS = 8


class Behaviour:
    """How the endpoint behaves that returns at time 0: it starts slow and gets fast.

    ``get_take`` is the load up to which it serves requests in time.
    """

    kind = "plain"
    fast_s = 3.0
    returning = ("e1",)
    is_known_before = False

    def is_up(self, now_s):
        return now_s >= 0.0

    def get_down_s(self, now_s):
        """:return: when it goes down next"""
        return inf

    def get_take(self, now_s):
        return 4 + (SLOTS - 4) * min(1.0, max(0.0, now_s) / self.fast_s)

    def get_duration_s(self, load, now_s):
        return DURATION_S * max(1.0, load / self.get_take(now_s)) ** 2


class StaysSlow(Behaviour):
    fast_s = None

    def get_take(self, now_s):
        return 2

    def get_duration_s(self, load, now_s):
        return 0.8 * max(1.0, load / 2) ** 2


class Alternates(Behaviour):
    fast_s = None
    is_known_before = True

    def is_up(self, now_s):
        return now_s < 0.0 or int(now_s / 1.2) % 2 == 1

    def get_down_s(self, now_s):
        return 0.0 if now_s < 0.0 else 1.2 * (int(now_s / 1.2) + 1)

    def get_take(self, now_s):
        return SLOTS


class Unreachable(Alternates):
    fast_s = 0.0

    def is_up(self, now_s):
        return now_s < -1.0 or now_s >= 0.0

    def get_down_s(self, now_s):
        return -1.0 if now_s < -1.0 else inf


class Collapses(Behaviour):
    fast_s = 0.0

    def get_take(self, now_s):
        return SLOTS / 2

    def get_duration_s(self, load, now_s):
        return DURATION_S if load < SLOTS / 2 else 3.0


class WholeService(Behaviour):
    returning = tuple(f"e{number}" for number in range(1, ENDPOINTS + 1))
    is_known_before = True

    def is_up(self, now_s):
        return now_s < -1.0 or now_s >= 0.0

    def get_down_s(self, now_s):
        return -1.0 if now_s < -1.0 else inf

    def get_take(self, now_s):
        if now_s < -1.0:
            return SLOTS
        return 8 + (SLOTS - 8) * min(1.0, max(0.0, now_s) / self.fast_s)


class ColdEngine(Behaviour):
    kind = "engine"
    fast_s = 4.0
    loaded_s = 2.0

    def get_speed(self, now_s):
        return TOKENS_PER_S if now_s >= self.fast_s else TOKENS_PER_S / 5

    def get_take(self, now_s):
        return IN_TIME_S * self.get_speed(now_s) / PROMPT_TOKENS


BEHAVIOURS = {
    "starts slow and gets fast": Behaviour,
    "stays slow": StaysSlow,
    "alternates between up and down": Alternates,
    "is unreachable for a second": Unreachable,
    "collapses at half of its slots": Collapses,
    "is a whole service that restarts": WholeService,
    "is a cold engine": ColdEngine,
}
