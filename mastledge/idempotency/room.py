"""Limits on the number and size of the records of keys, in total and by tenant."""

from collections import Counter

ROOM_SHARES = 4  # a tenant may use all shares but one, so that no tenant fills the table alone


class TableCapacity:
    """Tracks the bytes that records take, in total and by tenant; limits apply to records and bytes."""

    def __init__(self, max_records: int, max_bytes: int) -> None:
        """Start with nothing charged."""
        self.max_records, self.max_bytes = max_records, max_bytes
        self.max_tenant_bytes = max_bytes // ROOM_SHARES * (ROOM_SHARES - 1)
        self.used_bytes = 0
        self.tenant_bytes: Counter[str] = Counter()

    def admits(self, tenant: str, size_bytes: int, record_count: int) -> bool:
        """Return whether a record of this size fits in addition to `record_count` others."""
        return (
            record_count < self.max_records
            and self.used_bytes + size_bytes <= self.max_bytes
            and self.tenant_bytes[tenant] + size_bytes <= self.max_tenant_bytes
        )

    def has_bytes(self, size_bytes: int) -> bool:
        """Return whether an existing record may grow by `size_bytes`."""
        return self.used_bytes + size_bytes <= self.max_bytes

    def charge(self, tenant: str, size_bytes: int) -> None:
        """Charge a tenant with `size_bytes`, or credit it if `size_bytes` is negative."""
        self.used_bytes += size_bytes
        self.tenant_bytes[tenant] += size_bytes
