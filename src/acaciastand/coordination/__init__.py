"""Embeddable coordination parts: store interface, journal, leases and ownership."""
