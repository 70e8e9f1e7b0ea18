"""Changes of the fleet's settings, and the earlier versions that can be restored."""

from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus, SettingsPatchError
from mastledge.consensus.settings_patch import apply_patch

MAX_DOCUMENTS = 16  # versions of the settings that are kept


def change_settings(state: dict, change: dict) -> None:
    """Apply a committed settings document; raise `ChangeRefusedError` if it expects another version."""
    _check_expected(state, change)
    _replace(state, change["settings"])


def patch_settings(state: dict, change: dict) -> None:
    """Apply a committed patch of the settings.

    Raise `ChangeRefusedError` if the patch expects another version or a path does not exist.
    """
    _check_expected(state, change)
    try:
        settings = apply_patch(state["settings"], change["changes"])
    except SettingsPatchError as error:
        raise ChangeRefusedError(str(error), RefusalStatus.INVALID) from error
    _replace(state, settings)


def _check_expected(state: dict, change: dict) -> None:
    current, expected = state["settings_version"], change["expects"]
    if expected != current:
        raise ChangeRefusedError(
            f"settings are of version {current}, not {expected}", RefusalStatus.VERSION_MISMATCH
        )


def _replace(state: dict, settings: dict) -> None:
    version = state["version"] + 1  # the version after this change
    state["settings"], state["settings_version"] = settings, version
    state["documents"][str(version)] = settings
    for old in sorted(state["documents"], key=int)[:-MAX_DOCUMENTS]:
        del state["documents"][old]
