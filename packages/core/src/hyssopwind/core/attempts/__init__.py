"""Attempts of a request at servers: judgement, further attempts, crashes."""
