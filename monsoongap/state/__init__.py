"""Bounded tables: configuration and runners, locations of jobs, health of runners."""
