"""Entry point of a node on the platform: reads its settings and connects the adapters."""

import os
import sys
from pathlib import Path

from moledale.gateway.outside import CloudOrders, Store
from moledale.gateway.settings import GatewaySettings
from moledale.platform.cloud import PlatformCloud
from moledale.platform.engines import PlatformEngines
from moledale.platform.headers import PlatformEntry, PlatformHeaders
from moledale.platform.store import PlatformStore
from moledale.ui.gateway import run_gateway

SETTINGS_VARIABLE = "MOLEDALE_NODE_FILE"


def _store(settings: GatewaySettings) -> Store:
    return PlatformStore(settings.outside.store)


def _orders(settings: GatewaySettings) -> CloudOrders:
    return PlatformCloud(settings.outside.cloud)


def main() -> int:
    """Run a node with the settings file that the platform names in the environment."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    return run_gateway(path, PlatformHeaders(), PlatformEntry(), _store, _orders, PlatformEngines())


if __name__ == "__main__":
    sys.exit(main())
