"""The bench's wire: codec and instances. No decisions here."""
