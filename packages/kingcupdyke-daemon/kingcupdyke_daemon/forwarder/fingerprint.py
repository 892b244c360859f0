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


def make_fingerprint(request: ClientRequest, metadata: RequestMetadata) -> str:
    """:return: a hash of a request's method, host, path, caller, model, prompt and body"""
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    part_ids = (each.part_id for each in metadata.parts)
    texts = (request.host, request.path, metadata.caller, metadata.model, *part_ids)
    for part in (request.method, *(each.encode() for each in texts)):
        # The length keeps the parts apart.
        digest.update(b"%d:%s" % (len(part), part))
    digest.update(request.body)
    return digest.hexdigest()
