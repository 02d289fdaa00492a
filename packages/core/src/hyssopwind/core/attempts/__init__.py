"""Attempts of a request at servers: results, retries, crashes."""
