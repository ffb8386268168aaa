"""Start-up cost: with a tenth of a core, each import delays every restart noticeably."""

import importlib.util
import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
# Libraries that serving needs, with the dependencies of aiohttp.
LIBRARIES = {
    "aiohappyeyeballs",
    "aiohttp",
    "aiosignal",
    "attr",
    "attrs",
    "frozenlist",
    "idna",
    "msgspec",
    "multidict",
    "propcache",
    "typing_extensions",
    "uvloop",
    "yarl",
}
# Flags in the header of a byte code file (PEP 552): it carries a hash of the source instead of its
# time, and the hash is compared with the source on every import.
HASH_BASED, CHECK_SOURCE = 0b01, 0b10


def run_script(script, directory):
    """Run a script in a fresh interpreter and return its output."""
    command = [sys.executable, "-c", script]
    result = subprocess.run(command, cwd=directory, check=True, capture_output=True, text=True)
    return result.stdout


def test_serving_imports_only_the_libraries_it_needs():
    script = (
        "import json, sys; before = set(sys.modules);"
        "import mosswalk.cli.serve, mosswalk.service, uvloop;"
        "print(json.dumps(sorted(set(sys.modules) - before)))"
    )
    loaded = json.loads(run_script(script, ROOT))
    packages = {name.partition(".")[0] for name in loaded if "cython" not in name}
    assert packages - LIBRARIES - set(sys.stdlib_module_names) == {"mosswalk"}
    # The users' commands, and libraries that only some controllers need.
    assert not {"mosswalk.cli.client", "hcl2", "prometheus_client"} & set(loaded)
    assert not [name for name in loaded if name.startswith("mosswalk.detection")]


@pytest.fixture
def checkout(tmp_path):
    """A clean checkout whose libraries count as installed already."""
    for name in ("mosswalk", "deploy"):
        ignored = shutil.ignore_patterns("__pycache__")
        shutil.copytree(ROOT / name, tmp_path / name, ignore=ignored)
    for name in ("run.py", "requirements.txt"):
        shutil.copy(ROOT / name, tmp_path / name)
    os.utime(tmp_path / "requirements.txt", (0, 0))
    (tmp_path / "target" / "deps").mkdir(parents=True)
    return tmp_path


def build(checkout):
    deploy = tomllib.loads((checkout / "deploy" / "service.toml").read_text())
    subprocess.run(["sh", "-c", deploy["build"]], cwd=checkout, check=True)


def start_exit_code(checkout):
    """Return the exit code of a start that only prints the version."""
    command = [sys.executable, "run.py", "--version"]
    return subprocess.run(command, cwd=checkout, capture_output=True).returncode


def test_build_compiles_unchecked_byte_code_for_every_source(checkout):
    before = {path for path in checkout.rglob("*") if "target" not in path.parts}
    build(checkout)
    assert {path for path in checkout.rglob("*") if "target" not in path.parts} == before
    sources = list((checkout / "target" / "app" / "mosswalk").rglob("*.py"))
    assert len(sources) == len(list((checkout / "mosswalk").rglob("*.py")))
    for source in sources:
        header = Path(importlib.util.cache_from_source(str(source))).read_bytes()[:8]
        assert int.from_bytes(header[4:8], "little") & (HASH_BASED | CHECK_SOURCE) == HASH_BASED


def test_started_code_is_the_built_copy_until_the_next_build(checkout):
    assert start_exit_code(checkout) == 0
    build(checkout)
    with (checkout / "mosswalk" / "__init__.py").open("a") as source:
        source.write("raise SystemExit(9)\n")
    assert start_exit_code(checkout) == 0
    build(checkout)
    assert start_exit_code(checkout) == 9


def test_start_without_tls_reads_no_certificates(checkout):
    script = "import os, runpy; runpy.run_path('run.py'); print(os.environ['SSL_CERT_FILE'])"
    assert run_script(script, checkout).strip() == os.devnull
