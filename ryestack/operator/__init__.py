"""The operator file: settings of an installation in addition to the platform's configuration. It never
overrides that."""
