"""What is spoken: with clients, with endpoints, with the platform. No decisions here."""
