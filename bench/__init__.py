"""Wall-clock benchmarks, the demonstration and the code count."""
