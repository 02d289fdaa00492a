"""Decision logic of the load balancer, without input or output.

Time and randomness are arguments. Nothing here imports asyncio or sockets.
"""
