"""Whether a run whose connection is gone has ended, by the word of who runs it."""
