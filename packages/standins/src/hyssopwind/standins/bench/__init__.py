"""Benchmarks: ratios within one run, medians of several."""
