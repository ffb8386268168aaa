"""What a start costs: on a tenth of a core each import is waited for, after every restart."""

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
# What serving needs, and what aiohttp brings with it.
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
# Bits of a byte code file's header: checked by a hash of the source, and not at every import.
HASHED, CHECKED = 0b01, 0b10


def printed_by(script, directory):
    """What a script for a fresh interpreter prints."""
    command = [sys.executable, "-c", script]
    done = subprocess.run(command, cwd=directory, check=True, capture_output=True, text=True)
    return done.stdout


def test_serving_imports_no_library_that_it_does_not_need():
    script = (
        "import json, sys; before = set(sys.modules);"
        "import mosswalk.cli.serve, mosswalk.service, uvloop;"
        "print(json.dumps(sorted(set(sys.modules) - before)))"
    )
    loaded = json.loads(printed_by(script, ROOT))
    packages = {name.partition(".")[0] for name in loaded if "cython" not in name}
    assert packages - LIBRARIES - set(sys.stdlib_module_names) == {"mosswalk"}
    # Users' commands, and the libraries of what only some controllers are asked for.
    assert not {"mosswalk.cli.client", "hcl2", "prometheus_client"} & set(loaded)
    assert not [name for name in loaded if name.startswith("mosswalk.detection")]


@pytest.fixture
def checkout(tmp_path):
    """A clean checkout whose libraries are there already."""
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


def start(checkout):
    """The exit code of a start that only tells the version."""
    command = [sys.executable, "run.py", "--version"]
    return subprocess.run(command, cwd=checkout, capture_output=True).returncode


def test_the_build_makes_byte_code_that_no_start_has_to_check_or_make(checkout):
    before = {path for path in checkout.rglob("*") if "target" not in path.parts}
    build(checkout)
    assert {path for path in checkout.rglob("*") if "target" not in path.parts} == before
    sources = list((checkout / "target" / "app" / "mosswalk").rglob("*.py"))
    assert len(sources) == len(list((checkout / "mosswalk").rglob("*.py")))
    for source in sources:
        header = Path(importlib.util.cache_from_source(str(source))).read_bytes()[:8]
        assert int.from_bytes(header[4:8], "little") & (HASHED | CHECKED) == HASHED


def test_what_was_built_is_what_starts_until_it_is_built_anew(checkout):
    assert start(checkout) == 0
    build(checkout)
    with (checkout / "mosswalk" / "__init__.py").open("a") as source:
        source.write("raise SystemExit(9)\n")
    assert start(checkout) == 0
    build(checkout)
    assert start(checkout) == 9


def test_no_certificates_are_read_for_a_service_without_tls(checkout):
    script = "import os, runpy; runpy.run_path('run.py'); print(os.environ['SSL_CERT_FILE'])"
    assert printed_by(script, checkout).strip() == os.devnull
