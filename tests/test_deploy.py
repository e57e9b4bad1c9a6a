"""Guards the files from which the platform builds and starts the gateway."""

import pathlib
import re
import subprocess
import sys
import sysconfig
import tomllib

from filbertreach.gateway import _command as gateway_command
from filbertreach.gateway._policy import load_policy

_ROOT = pathlib.Path(__file__).parent.parent


def test_the_build_installs_the_pinned_dependencies() -> None:
    # Guards against deploying versions other than those that are tested.
    project = tomllib.loads((_ROOT / "pyproject.toml").read_text())["project"]
    lines = (_ROOT / "deploy/requirements.txt").read_text().splitlines()
    assert [line for line in lines if line and not line.startswith("#")] == project["dependencies"]


def test_the_deploy_file_starts_the_gateway_and_exposes_its_listeners() -> None:
    system = tomllib.loads((_ROOT / "deploy/system.toml").read_text())
    role = system["roles"]["gateway"]
    start = ["python3", "-S", "-m", "filbertreach.gateway", "--policy", "deploy/gateway.ini"]
    assert role["run"].split() == start
    assert role["serves"] == ["front", "control"]
    port = re.fullmatch(r"(\d+)/metrics", role["metrics"])
    assert port is not None and int(port.group(1)) == gateway_command._METRICS_PORT


def test_the_policy_of_the_deployment_can_be_read() -> None:
    # Guards against gateways that end at their start.
    policy = load_policy(str(_ROOT / "deploy/gateway.ini")).unwrap()
    assert policy.spill_over is not None
    assert policy.caller_reserve


def test_the_gateway_starts_with_its_declared_dependencies_alone() -> None:
    # Guards against an import of something that only the interpreter's own site-packages have.
    libraries = sysconfig.get_path("purelib")
    environment = {"PYTHONPATH": f"{libraries}:{_ROOT}", "PATH": "/usr/bin:/bin"}
    command = [sys.executable, "-S", "-m", "filbertreach.gateway", "--help"]
    result = subprocess.run(command, env=environment, capture_output=True, check=False)
    assert result.returncode == 0, result.stderr
