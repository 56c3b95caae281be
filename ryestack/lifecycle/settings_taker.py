"""How other settings come into force in a life: those of a reread file, unless control machines tell some."""

from dataclasses import replace

from .. import interface
from ..observe.log import event
from ..settings import lacking
from .config import BadConfig, Config, settings_of


class SettingsTaker:
    """The part of a relay that takes settings, whole or not at all.

    control_settings: the JSON object that control machines tell, None if they tell none.
    """

    control_settings: dict | None = None

    def read_control_settings(self, told: dict) -> interface.Settings:
        """Raises BadConfig where they can't be used, or lack what those in force have."""
        before = self.control_settings or self.config.told["settings"]
        if key := lacking(told, before):
            raise BadConfig(f"{key} is missing")
        return settings_of(told, self.config)

    def take_control_settings(self, settings: interface.Settings | None, told: dict) -> None:
        """None: those of the file hold again."""
        self.control_settings = told if settings else None
        self.take_settings(settings or settings_of(self.config.told["settings"], self.config))

    def settings_after(self, reread: Config) -> interface.Settings:
        """The settings in force once that file holds."""
        told = self.control_settings
        return settings_of(told, reread) if told else reread.settings

    def take_settings(self, settings: interface.Settings) -> None:
        if settings == self.config.settings:
            return
        self.parts.terms.change(settings, self.clock())
        self.owner.retune(settings)
        for part in (self.parts.dispatcher, *self.parts.listeners):
            part.retune(settings)
        self.config = replace(self.config, settings=settings)
        event("settings.changed", topics=",".join(topic.name for topic in settings.topic_types))
