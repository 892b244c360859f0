"""
kingcupdyke_daemon.forwarder.fingerprint
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Identifies requests that are the same, whatever attempt they belong to.
"""

from hashlib import blake2b

from kingcupdyke.forwarding.metadata import RequestMetadata
from kingcupdyke_daemon.forwarder.reply import ClientRequest

__all__ = ["make_fingerprint"]

#: Length of a fingerprint in bytes.
FINGERPRINT_BYTES = 12


def make_fingerprint(
    request: ClientRequest, metadata: RequestMetadata, caller: str, has_callers: bool
) -> str:
    """:return: a hash of a request's method, host, path, caller, model, prompt and body

    :param caller: name of the caller, or empty if it is not known
    :param has_callers: whether callers are configured
    """
    # Fingerprints are logged and sent to peers. A caller's key is no part of them, as someone who
    # knows the rest of a request could test guesses of the key.
    identity = caller if has_callers else metadata.authorization
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    part_ids = (each.part_id for each in metadata.parts)
    texts = (request.host, request.path, identity, metadata.model, *part_ids)
    for part in (request.method, *(each.encode() for each in texts)):
        # The length keeps the parts apart.
        digest.update(b"%d:%s" % (len(part), part))
    digest.update(request.body)
    return digest.hexdigest()
