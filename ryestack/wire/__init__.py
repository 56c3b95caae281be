"""Adapters for the protocols of clients, endpoints, the platform and operators. They decide nothing."""
