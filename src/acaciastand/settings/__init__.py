"""The operators' settings tree: schema, inheritance, edits and effective values."""
