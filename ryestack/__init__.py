"""ryestack: a delivery service for outbound notifications to other firms' systems."""
