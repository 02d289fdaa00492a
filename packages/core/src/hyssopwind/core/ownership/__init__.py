"""At-most-once execution: tickets, idempotency keys and their records."""
