"""
prefix_steps
~~~~~~~~~~~~

Steps for the hashes of prompt prefixes.
"""

from behave import then

from kingcupdyke.prefix import hash_prefixes


@then("prefix gives {count:d} hashes for {characters:d} characters")
def check_count(context, count, characters):
    hashes = hash_prefixes("m", "", "x" * characters)
    assert len(hashes) == len(set(hashes)) == count, hashes


@then('prefix shares {shared:d} of 4 hashes with "{other}" and a change at character {at:d}')
def check_shared(context, shared, other, at):
    prompt = "x" * 1024
    changed = f"{prompt[:at]}y{prompt[at + 1:]}"[:1024]
    hashes = hash_prefixes("m", "", prompt)
    found = hash_prefixes(*other.split("/"), changed)
    assert [each in hashes for each in found] == [True] * shared + [False] * (4 - shared), found
