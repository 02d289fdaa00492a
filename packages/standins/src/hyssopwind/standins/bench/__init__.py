"""Benchmarks that report ratios within a run and medians over rounds."""
