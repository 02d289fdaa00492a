"""A client for plain HTTP/1.1: message heads, framing, connection reuse.

It parses with httptools, which wraps the same parser as aiohttp. Importing
aiohttp would take 190 ms and add 10 MB to a daemon of 26 MB. The package
itself decides where a message ends and whether a connection may be reused.
"""
