"""The command as a new user meets it."""

import msgspec
import pytest

from mosswalk.cli import main
from tests.fakes import job_spec
from tests.test_config import write_settings


def test_help_and_version_are_there(capsys):
    for arguments in (["--help"], ["submit", "--help"], ["--version"]):
        with pytest.raises(SystemExit) as stop:
            main(arguments)
        assert stop.value.code == 0
    assert "mosswalk 0." in capsys.readouterr().out


def test_settings_are_checked(tmp_path, capsys):
    assert main(["check", "--config", str(write_settings(tmp_path))]) == 0
    assert "good" in capsys.readouterr().out
    assert main(["check", "--config", str(tmp_path / "none.toml")]) == 2
    assert "none.toml" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "code", "told"),
    [
        (["status", "j-000001", "--server", "127.0.0.1:1"], 3, "127.0.0.1:1"),
        (["status", "412", "--server", "127.0.0.1:1"], 2, "j-000412"),
        (["withdraw", "j-000001", "--server", "nowhere"], 2, "host:port"),
        (["submit", "none.json", "--server", "127.0.0.1:1"], 2, "none.json"),
    ],
)
def test_what_goes_wrong_is_told_with_its_exit_code(arguments, code, told, capsys):
    assert main(arguments) == code
    assert told in capsys.readouterr().err


def test_a_bad_description_is_told_before_anything_is_sent(tmp_path, capsys):
    path = tmp_path / "job.json"
    path.write_bytes(msgspec.json.encode(job_spec(tasks=1)).replace(b'"cores":1.0', b'"cores":"x"'))
    assert main(["submit", str(path), "--server", "127.0.0.1:1"]) == 2
    assert "cores" in capsys.readouterr().err
