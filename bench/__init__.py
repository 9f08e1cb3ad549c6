"""Benchmarks with regression bounds, and the demonstration."""
