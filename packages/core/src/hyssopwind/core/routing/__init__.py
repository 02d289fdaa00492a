"""Routes of published configurations: matching, splits, limits."""
