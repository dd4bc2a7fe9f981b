"""State machines of hypothesis that the steps run with fixed seeds."""
