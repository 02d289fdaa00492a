"""Tenants, their keys and their allowances."""
