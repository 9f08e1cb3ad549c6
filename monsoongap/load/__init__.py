"""Load generation, invariant checking and reports."""
