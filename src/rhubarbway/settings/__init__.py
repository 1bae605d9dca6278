"""Parsing and validation of the settings of the daemons."""

from rhubarbway.settings.gateway import GatewaySettings, gateway_settings_from_bytes
from rhubarbway.settings.settings import Settings, settings_from_bytes

__all__ = [
    "GatewaySettings",
    "Settings",
    "gateway_settings_from_bytes",
    "settings_from_bytes",
]
