"""Command line and signals of the gateway, run as a separate process."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import pytest

from filbertreach.platform import load_boot
from filbertreach.schema import parse_address
from filbertreach_standins.ports import free_address

_SETTINGS = """
node_name = "front-1"
zone = "minho-1"
region = "minho"
unknown_field = 7
[zones]
minho-1 = "minho"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
drain_ms = 3000
config_apply_ms = 3000
grace_s = 1
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 54
[platform]
address = "127.0.0.1:1"
"""


def _write(path: pathlib.Path) -> tuple[int, int]:
    # Not ephemeral ports: the kernel may choose such a port as the source of a probe, which then
    # connects to itself, or give it to another process before the gateway binds it.
    ports = parse_address(free_address())[1], parse_address(free_address())[1]
    path.write_text(_SETTINGS.format(front=ports[0], ready=ports[1]))
    return ports


def _run(path: pathlib.Path, *arguments: str) -> subprocess.Popen[str]:
    environment = {**os.environ, "FILBERTREACH_BOOT": str(path)}
    return subprocess.Popen(
        [sys.executable, "-m", "filbertreach.gateway", *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def _wait_for_port(port: int) -> None:
    deadline = time.monotonic() + 30.0
    while time.monotonic() < deadline:
        with socket.socket() as probe:
            if probe.connect_ex(("127.0.0.1", port)) == 0:
                return
        time.sleep(0.05)
    raise AssertionError(f"port {port} was not opened")


def test_a_hangup_does_not_end_the_process(tmp_path: pathlib.Path) -> None:
    # Guards against the default action of SIGHUP, which terminates the process during requests.
    settings = tmp_path / "boot.toml"
    _, ready = _write(settings)
    process = _run(settings)
    try:
        _wait_for_port(ready)
        settings.write_text("not toml [")
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        _write(settings)
        process.send_signal(signal.SIGHUP)
        time.sleep(0.3)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 0
    assert "settings not reloaded" in output
    assert "settings reloaded" in output


def _ignores_hangup(process: subprocess.Popen[str]) -> bool:
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    ignored = next(line for line in status.splitlines() if line.startswith("SigIgn:"))
    return bool(int(ignored.split()[1], 16) >> (signal.SIGHUP - 1) & 1)


def test_a_hangup_does_not_end_a_starting_process(tmp_path: pathlib.Path) -> None:
    # Guards against termination by a SIGHUP in the first half second of startup, before the handler
    # is installed.
    settings = tmp_path / "boot.toml"
    _, ready = _write(settings)
    process = _run(settings)
    try:
        deadline = time.monotonic() + 30.0
        while not _ignores_hangup(process):
            assert time.monotonic() < deadline and process.poll() is None
            time.sleep(0.001)
        listening = False
        while not listening:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.005)
            assert process.poll() is None and time.monotonic() < deadline
            with socket.socket() as probe:
                listening = probe.connect_ex(("127.0.0.1", ready)) == 0
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 0, output


def test_a_changed_file_is_read_again_without_a_signal(tmp_path: pathlib.Path) -> None:
    # Guards against outdated limits when the platform changes the file without a signal.
    settings = tmp_path / "boot.toml"
    _, ready = _write(settings)
    process = _run(settings)
    try:
        _wait_for_port(ready)
        settings.write_text(settings.read_text().replace("retry_slack = 54", "retry_slack = 20"))
        time.sleep(4.0)
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=30)
    finally:
        process.kill()
    assert process.returncode == 0
    assert output.count('"settings reloaded"') == 1 and '"changed": true' in output


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ('node_name = "front-1"', "", "node_name"),
        ('node_name = "front-1"', "node_name = 3", "node_name"),
        ("grace_s = 1", "grace_s = 0", "grace_s"),
        ("retry_slack = 54", 'retry_slack = "many"', "retry_slack"),
        ('address = "127.0.0.1:1"', 'address = "127.0.0.1"', "expected ip:port"),
        ("[zones]", "[zones", "settings file"),
    ],
)
def test_invalid_settings_are_named(
    tmp_path: pathlib.Path, old: str, new: str, message: str
) -> None:
    # Guards against starting with invalid settings, which would only fail later.
    settings = tmp_path / "boot.toml"
    _write(settings)
    settings.write_text(settings.read_text().replace(old, new))
    process = _run(settings, "--check-config")
    output, _ = process.communicate(timeout=30)
    assert process.returncode == 2
    assert message in output


def test_missing_settings_are_reported(tmp_path: pathlib.Path) -> None:
    process = _run(tmp_path / "none.toml", "--check-config")
    output, _ = process.communicate(timeout=30)
    assert process.returncode == 2
    assert "can't read settings file" in output


@pytest.mark.parametrize(
    ("limits", "link", "cores"),
    [
        ("", None, None),
        ("[limits]\nlink_mbps = 7\ncores = 2\ncpu_share = 0.25\n", 875_000.0, 0.5),
        ("[limits]\nlink_mbps = 0\ncores = 1\nmax_fds = 9\n", None, 1.0),
    ],
)
def test_the_limits_of_the_host_are_optional(
    tmp_path: pathlib.Path, limits: str, link: float | None, cores: float | None
) -> None:
    # Guards against a gateway that does not start with the settings of an earlier deployment.
    path = tmp_path / "boot.toml"
    path.write_text(_SETTINGS.format(front=1, ready=2) + limits)
    settings = load_boot(str(path)).unwrap()
    assert (settings.link_bytes_per_second, settings.cores) == (link, cores)


def test_the_bounds_of_cold_leaves_and_removed_keys_are_read(tmp_path: pathlib.Path) -> None:
    # Guards against a bound of the deployment that is assumed instead of read.
    path = tmp_path / "boot.toml"
    path.write_text(_SETTINGS.format(front=1, ready=2))
    bounds = load_boot(str(path)).unwrap().bounds
    assert (bounds.cold_overrun, bounds.cold_slack) == (1.5, 5.0)
    assert (bounds.strict_revoke, bounds.revoke_seconds) == (False, 5.0)
    stated = "retry_slack = 54\ncold_overrun = 1.2\ncold_slack = 3\nstrict_revoke = true\n"
    text = _SETTINGS.replace("retry_slack = 54\n", stated + "revoke_ms = 2500\n")
    path.write_text(text.format(front=1, ready=2))
    bounds = load_boot(str(path)).unwrap().bounds
    assert (bounds.cold_overrun, bounds.cold_slack) == (1.2, 3.0)
    assert (bounds.strict_revoke, bounds.revoke_seconds) == (True, 2.5)
