"""Takes a text over into another environment."""


def with_environment(*, text: str, name: str, trial: str) -> str:
    """Replaces the [environment] section of a document and keeps every other line.

    Args:
        text: A document that parses.
        name: New environment name.
        trial: Environment in which the text ran first, or an empty string.

    Returns:
        The text for the other environment.
    """
    section = ["[environment]", f"name = {name}"] + ([f"trial = {trial}"] if trial else [])
    lines: list[str] = []
    inside = False
    for line in text.splitlines():
        if line.startswith("["):
            inside = line.startswith("[environment]")
            if inside:
                lines += section
        if not inside:
            lines.append(line)
    return "\n".join(lines) + "\n"
