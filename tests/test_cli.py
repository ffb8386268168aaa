"""The command line: help, exit codes and error messages."""

import msgspec
import pytest

from mosswalk.cli import main
from tests.fakes import job_spec
from tests.test_config import write_settings


def test_help_and_version_exit_with_zero(capsys):
    for arguments in (["--help"], ["submit", "--help"], ["--version"]):
        with pytest.raises(SystemExit) as error:
            main(arguments)
        assert error.value.code == 0
    assert "mosswalk 0." in capsys.readouterr().out


def test_check_accepts_valid_settings_and_names_a_missing_file(tmp_path, capsys):
    assert main(["check", "--config", str(write_settings(tmp_path))]) == 0
    assert "good" in capsys.readouterr().out
    assert main(["check", "--config", str(tmp_path / "none.toml")]) == 2
    assert "none.toml" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("arguments", "code", "message"),
    [
        (["status", "j-000001", "--server", "127.0.0.1:1"], 3, "127.0.0.1:1"),
        (["status", "412", "--server", "127.0.0.1:1"], 2, "j-000412"),
        (["withdraw", "j-000001", "--server", "nowhere"], 2, "host:port"),
        (["submit", "none.json", "--server", "127.0.0.1:1"], 2, "none.json"),
    ],
)
def test_failed_command_has_its_exit_code_and_message(arguments, code, message, capsys):
    assert main(arguments) == code
    assert message in capsys.readouterr().err


def test_submit_rejects_an_invalid_job_file_without_a_request(tmp_path, capsys):
    path = tmp_path / "job.json"
    path.write_bytes(msgspec.json.encode(job_spec(tasks=1)).replace(b'"cores":1.0', b'"cores":"x"'))
    assert main(["submit", str(path), "--server", "127.0.0.1:1"]) == 2
    assert "cores" in capsys.readouterr().err
