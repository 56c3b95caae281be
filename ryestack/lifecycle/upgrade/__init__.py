"""An upgrade: two processes of one relay, who serves, and the messages between them."""
