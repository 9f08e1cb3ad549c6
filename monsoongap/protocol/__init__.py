"""Messages, codecs and identifiers shared by every layer above."""
