"""Who and what is there, as decisions apart from their sockets."""
