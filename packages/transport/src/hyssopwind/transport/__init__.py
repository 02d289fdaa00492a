"""Plain HTTP/1.1 connections: heads, framing, reuse.

httptools parses; it wraps the parser that aiohttp wraps too, without the 190
ms of imports and 10 MB that aiohttp adds to a daemon of 26 MB. Where a message
ends and whether a connection may be used again is decided here.
"""
