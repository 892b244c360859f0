"""
connectionlimit_steps
~~~~~~~~~~~~~~~~~~~~~

Steps for the limit of client connections.
"""

from behave import then

from kingcupdyke.forwarding.connectionlimit import choose_connection_limit


@then(
    "connectionlimit: with a memory limit of {memory_mb} MB and {max_fds} descriptors it is "
    "{limit:d}"
)
def check_limit(context, memory_mb, max_fds, limit):
    memory_bytes = None if memory_mb == "no" else int(memory_mb) * 1_000_000
    found = choose_connection_limit(memory_bytes, None if max_fds == "no" else int(max_fds))
    assert found == limit, found
