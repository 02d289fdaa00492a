"""Choice of the data centre that a request goes to."""
