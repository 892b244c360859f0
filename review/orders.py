"""
Judges the orders in a record.
"""

import json


def list_order_faults(record_path, ttl_s):
    """Judge the orders of a record by the rule ONE. A hand-over from one holder to another with a
    higher token is none of its faults, however soon; holders take turns if one comes back.

    :return: a line for each order that breaks it
    """
    with open(record_path, encoding="utf-8") as file:
        lines = [json.loads(line) for line in file]
    faults = []
    holder_by_token, highest, last_t = {}, {}, {}
    for each in (line for line in lines if line["what"] == "order"):
        worker, holder, fence, t = each["worker"], each["holder"], each["fence"], each["t"]
        first = holder_by_token.setdefault((worker, fence), holder)
        if first != holder:
            faults.append(f"{t}: {worker}: token {fence} of {first} is used by {holder}")
        if fence < highest.get(worker, 0):
            faults.append(f"{t}: {worker}: token {fence} of {holder} after {highest[worker]}")
        highest[worker] = max(fence, highest.get(worker, 0))
        last_by_holder = last_t.setdefault(worker, {})
        before_t = last_by_holder.get(holder, t)
        others = [name for name, at in last_by_holder.items() if name != holder and at > before_t]
        if others and t - before_t < ttl_s:
            faults.append(f"{t}: {worker}: {holder} and {others[0]} take turns")
        last_by_holder[holder] = t
    return faults
