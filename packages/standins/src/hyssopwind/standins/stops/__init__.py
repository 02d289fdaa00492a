"""Stops and signals of real gateways under load, judged from outside."""
