"""Jobs of dependent steps: their state, and the decisions on where and when each task runs."""
