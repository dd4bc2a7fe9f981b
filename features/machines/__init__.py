"""State machines that are run from steps."""
