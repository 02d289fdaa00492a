"""Settings documents, their validation and the snapshot in force."""
