"""Types and identifiers shared by all layers above."""
