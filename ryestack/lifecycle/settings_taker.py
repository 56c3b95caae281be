"""Changes a running relay's settings: those of a reloaded file, unless control machines provide settings."""

from dataclasses import replace

from .. import interface
from ..observe.log import event
from ..settings import first_missing_key
from .config import BadConfig, Config, settings_of


class SettingsTaker:
    """The part of a relay that applies settings, completely or not at all.

    control_settings: the JSON object from the control machines, None if they provide none.
    """

    control_settings: dict | None = None

    def read_control_settings(self, document: dict) -> interface.Settings:
        """Parse settings; raises BadConfig if they are unusable or lack a key of those in force."""
        current = self.control_settings or self.config.document["settings"]
        if key := first_missing_key(document, current):
            raise BadConfig(f"{key} is missing, the settings in force have it")
        return settings_of(document, self.config)

    def take_control_settings(self, settings: interface.Settings | None, document: dict) -> None:
        """Apply the control machines' settings; None: return to those of the file."""
        self.control_settings = document if settings else None
        self.take_settings(settings or settings_of(self.config.document["settings"], self.config))

    def settings_after(self, reread: Config) -> interface.Settings:
        """The settings that will be in force with the reloaded file."""
        document = self.control_settings
        return settings_of(document, reread) if document else reread.settings

    def take_settings(self, settings: interface.Settings) -> None:
        """Apply settings to all parts of the relay."""
        if settings == self.config.settings:
            return
        self.parts.terms.change(settings, self.clock())
        self.owner.retune(settings)
        for part in (self.parts.dispatcher, *self.parts.listeners):
            part.apply_settings(settings)
        self.config = replace(self.config, settings=settings)
        event("settings.changed", topics=",".join(topic.name for topic in settings.topic_types))
