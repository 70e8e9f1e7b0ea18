"""The settings of the fleet, and the versions of them that can be gone back to."""

from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus, SettingsPatchError
from mastledge.consensus.settings_patch import patched

MAX_DOCUMENTS = 16


def change_settings(state: dict, change: dict) -> None:
    """Apply a committed settings document; it has to name the version that it follows."""
    _check_expected(state, change)
    _replace(state, change["settings"])


def patch_settings(state: dict, change: dict) -> None:
    """Apply a committed patch of the settings; a path that is not there refuses all of it."""
    _check_expected(state, change)
    try:
        settings = patched(state["settings"], change["changes"])
    except SettingsPatchError as error:
        raise ChangeRefusedError(str(error), RefusalStatus.INVALID) from error
    _replace(state, settings)


def _check_expected(state: dict, change: dict) -> None:
    current, expected = state["settings_version"], change["expects"]
    if expected != current:
        raise ChangeRefusedError(
            f"settings are of version {current}, not {expected}", RefusalStatus.OTHER_VERSION
        )


def _replace(state: dict, settings: dict) -> None:
    version = state["version"] + 1  # the one that this change makes
    state["settings"], state["settings_version"] = settings, version
    state["documents"][str(version)] = settings
    for old in sorted(state["documents"], key=int)[:-MAX_DOCUMENTS]:
        del state["documents"][old]
