"""Bounded tables: configuration and runners, jobs elsewhere, runners' health."""
