"""The daemons that run jobs of dependent steps: election, owner, entries and agents."""
