"""Adapts a document to another environment."""


def with_environment(*, text: str, name: str, trial: str) -> str:
    """Replaces the [environment] section of a document and keeps all other lines.

    Args:
        text: Text of a valid document.
        name: New environment name.
        trial: Trial environment in which the text ran first, or an empty string.

    Returns:
        The text with the new section.
    """
    section = ["[environment]", f"name = {name}"] + ([f"trial = {trial}"] if trial else [])
    lines: list[str] = []
    in_section = False
    for line in text.splitlines():
        if line.startswith("["):
            in_section = line.startswith("[environment]")
            if in_section:
                lines += section
        if not in_section:
            lines.append(line)
    return "\n".join(lines) + "\n"
