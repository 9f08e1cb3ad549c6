"""Decisions: admission, placement, settlement, membership, settings replay."""
