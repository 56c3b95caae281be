"""What a relay tells of itself: a registry of events, and the structured log that writes them."""
