"""Gateways as processes behind narrow or cut links."""
