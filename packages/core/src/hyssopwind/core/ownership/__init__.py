"""At-most-once runs: tickets, idempotency keys, and the memory of their use."""
