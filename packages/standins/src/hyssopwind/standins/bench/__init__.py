"""Benchmarks, which report ratios within a run and medians of several runs."""
