"""Models and state machines of the proofs."""
