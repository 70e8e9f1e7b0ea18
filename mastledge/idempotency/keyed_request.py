"""What names a request: its idempotency key in the scope of a tenant, and its fingerprint.

The draft of the IETF on the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header) leaves the
form of keys and of fingerprints to the server.
"""

from hashlib import blake2b

import msgspec

MAX_KEY_BYTES = 255
FIRST_VISIBLE_ASCII, LAST_VISIBLE_ASCII = 33, 126
FINGERPRINT_BYTES = 16
MAX_TARGET_BYTES = 64  # of the target count for the fingerprint: the longest key that BLAKE2b takes

# Tenant and key. A bare tuple, as the garbage collector stops looking at one that holds no containers; an
# instance of a subclass, such as a named tuple, stays tracked, and there are 100,000 of them.
ScopedKey = tuple[str, bytes]


class KeyedRequest(msgspec.Struct, frozen=True, gc=False):
    """A job that asks for the right to run under its key."""

    tenant: str
    key: bytes  # as it stands in the header
    fingerprint: bytes
    expires_at: int  # end of the job's walltime, in microseconds of the monotonic clock
    claim_name: str = ""  # of the claim among dispatchers; empty where no copies are kept for others

    @property
    def scoped_key(self) -> ScopedKey:
        """The key in the scope of its tenant: two tenants may use the same one."""
        return self.tenant, self.key


def request_fingerprint(target: bytes, body: bytes) -> bytes:
    """A hash of path and body that tells two requests under the same key apart."""
    return blake2b(body, digest_size=FINGERPRINT_BYTES, key=target[:MAX_TARGET_BYTES]).digest()


def is_valid_key(key: bytes) -> bool:
    """Whether a key consists of 1 to 255 visible ASCII characters."""
    return 1 <= len(key) <= MAX_KEY_BYTES and all(
        FIRST_VISIBLE_ASCII <= char <= LAST_VISIBLE_ASCII for char in key
    )
