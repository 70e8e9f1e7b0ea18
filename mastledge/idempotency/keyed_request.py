"""Identity of a request: its idempotency key in the scope of a tenant, and its fingerprint.

The IETF draft on the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header) leaves the format of
keys and fingerprints to the server.
"""

from hashlib import blake2b

import msgspec

MAX_KEY_BYTES = 255
FIRST_VISIBLE_ASCII, LAST_VISIBLE_ASCII = 33, 126
FINGERPRINT_BYTES = 16
MAX_TARGET_BYTES = 64  # of the target, as part of the fingerprint: the longest key that BLAKE2b accepts

# Tenant and key. A plain tuple, because the garbage collector stops tracking one without containers, while it
# would keep tracking 100,000 instances of a subclass such as a named tuple.
ScopedKey = tuple[str, bytes]


class KeyedRequest(msgspec.Struct, frozen=True, gc=False):
    """A job that asks for the right to run under its key."""

    tenant: str
    key: bytes  # as in the header
    fingerprint: bytes
    expires_at: int  # end of the job's walltime, in microseconds of the monotonic clock
    claim_name: str = ""  # name of the claim between dispatchers; empty without replication

    @property
    def scoped_key(self) -> ScopedKey:
        """Return the key in the scope of its tenant, as two tenants may use the same key."""
        return self.tenant, self.key


def request_fingerprint(target: bytes, body: bytes) -> bytes:
    """Return a hash of path and body that distinguishes two requests with the same key."""
    return blake2b(body, digest_size=FINGERPRINT_BYTES, key=target[:MAX_TARGET_BYTES]).digest()


def is_valid_key(key: bytes) -> bool:
    """Return whether a key consists of 1 to 255 visible ASCII characters."""
    return 1 <= len(key) <= MAX_KEY_BYTES and all(
        FIRST_VISIBLE_ASCII <= char <= LAST_VISIBLE_ASCII for char in key
    )
