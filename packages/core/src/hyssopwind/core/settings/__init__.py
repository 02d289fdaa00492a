"""Settings: the documents, their checks, and the snapshot in force."""
