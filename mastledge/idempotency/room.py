"""How much room the records of keys take, and who may still have some."""

from collections import Counter

ROOM_SHARES = 4  # a tenant takes all but one of them, so that none fills the room alone


class Room:
    """Bytes that records take, of all tenants and of each; limits count records and bytes."""

    def __init__(self, max_records: int, max_bytes: int) -> None:
        """Nothing is taken at first."""
        self.max_records, self.max_bytes = max_records, max_bytes
        self.max_tenant_bytes = max_bytes // ROOM_SHARES * (ROOM_SHARES - 1)
        self.used_bytes = 0
        self.tenant_bytes: Counter[str] = Counter()

    def admits(self, tenant: str, size_bytes: int, record_count: int) -> bool:
        """Whether one more record of this size fits in beside `record_count` others."""
        return (
            record_count < self.max_records
            and self.used_bytes + size_bytes <= self.max_bytes
            and self.tenant_bytes[tenant] + size_bytes <= self.max_tenant_bytes
        )

    def has_bytes(self, size_bytes: int) -> bool:
        """Whether a record that is there already may grow by so much."""
        return self.used_bytes + size_bytes <= self.max_bytes

    def charge(self, tenant: str, size_bytes: int) -> None:
        """Takes room for a tenant, or gives it back where `size_bytes` is negative."""
        self.used_bytes += size_bytes
        self.tenant_bytes[tenant] += size_bytes
