"""Bounded tables of soft state; every table has a stated limit."""
