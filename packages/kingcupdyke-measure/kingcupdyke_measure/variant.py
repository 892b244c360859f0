"""
kingcupdyke_measure.variant
~~~~~~~~~~~~~~~~~~~~~~~~~~~

Variants of the gateways' settings: the default, and baselines that each change one decision.
"""

__all__ = ["VARIANTS_BY_NAME"]

#: Settings of all gateways by the name of the variant, in addition to those of the scenario.
#: ``lean`` is the weight of attainment against moves, from 0.0 to 1.0.
VARIANTS_BY_NAME: dict[str, dict[str, object]] = {
    "default": {},
    "router-random": {"router": "random"},
    "router-round-robin": {"router": "round_robin"},
    "router-least-load": {"router": "least_load"},
    "no-affinity": {"affinity": False},
    "no-two-choices": {"two_choices": False},
    "no-admission": {"admission": "none"},
    "no-retries": {"retry_share": 0.0},
    "placement-static": {"placement": "static"},
    "lean-0.2": {"lean": 0.2},
    "lean-0.9": {"lean": 0.9},
}
