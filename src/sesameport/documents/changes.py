"""Check the step from one version of a service document to the next."""

from sesameport.world import Finding, ServiceDocument

__all__ = ["check_change"]


def check_change(
    old: ServiceDocument, new: ServiceDocument, file: str
) -> list[Finding]:
    """Return what speaks against replacing one version by another.

    A region's share may not rise in the version that lowers another's: hosts of the
    two regions put the version in force at different moments, and between them the
    shares would sum to more than 1.
    """
    before = {region.name: region.share for region in old.regions}
    after = {region.name: region.share for region in new.regions}
    names = sorted(before.keys() | after.keys())
    raised = [name for name in names if after.get(name, 0.0) > before.get(name, 0.0)]
    lowered = [name for name in names if after.get(name, 0.0) < before.get(name, 0.0)]
    if not raised or not lowered:
        return []
    message = (
        f"raises {', '.join(raised)} and lowers {', '.join(lowered)} in one version; "
        "lower first, and raise in a later version"
    )
    return [Finding(file, "regions", message)]
