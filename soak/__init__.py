"""A randomized soak: real processes, faults injected from outside, promises checked."""
