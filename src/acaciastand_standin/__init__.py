"""Small stand-ins for the platform: key-value service, worker and target."""
