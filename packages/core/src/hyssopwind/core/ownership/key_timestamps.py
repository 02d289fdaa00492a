"""Creation time of an idempotency key that is a version 7 UUID.

References:
    RFC 9562, section 5.7.
"""

import uuid

# The timestamp is the highest 48 of 128 bits.
_TIMESTAMP_SHIFT_BITS = 80
_UUID_CHARACTERS = 36


def read_creation_time(key: str) -> float | None:
    """Returns the Unix time in seconds at which a key was created.

    It is `None` if the key is not a version 7 UUID.

    Examples:
        >>> read_creation_time("01890a5d-ac96-774b-bcce-b302099a8057")
        1688096058.518
        >>> read_creation_time("order-17") is None
        True
    """
    if len(key) != _UUID_CHARACTERS:
        return None
    try:
        value = uuid.UUID(key)
    except ValueError:
        return None
    if value.version != 7:
        return None
    return (value.int >> _TIMESTAMP_SHIFT_BITS) / 1000
