"""Limits that servers state in their answers, and permits to send to them."""
