"""Reading the settings: the platform's TOML file and the operators' HCL file."""

import pytest

from mosswalk.cli.serve import main
from mosswalk.config import SettingsError, load

SETTINGS_TOML = """
host_name = "moss-0"
zone = "a"
serve_on = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
new_field = 3
[[known]]
host_name = "moss-1"
zone = "b"
address = "10.0.0.2:8081"
[outside]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[params]
zones = ["a", "b"]
[[params.teams]]
name = "red"
cpus = 4.0
surprise = true
[params.workers]
report_s = 2.0
lease_s = 16.0
cancel_s = 41.0
[params.state]
rps = 200.0
write_rps = 20.0
value_kb = 16.0
txn_ops = 16
[params.cloud]
rps = 6.0
list_lag_s = 8.0
"""


def write_settings(tmp_path, toml=SETTINGS_TOML, hcl=None):
    path = tmp_path / "node.toml"
    path.write_text(toml)
    if hcl is not None:
        (tmp_path / "node.hcl").write_text(hcl)
    return path


def test_settings_file_is_read_and_unknown_fields_are_ignored(tmp_path):
    settings = load(write_settings(tmp_path))
    assert settings.params.teams[0].cpus == 4.0
    assert settings.tuning.factory.period_s > 0


def test_operator_file_overrides_only_the_fields_it_names(tmp_path):
    hcl = 'factory {\n  load_high = 2\n  unheard_of = 1\n}\nteam "red" {\n  share = 2.5\n}\n'
    default = load(write_settings(tmp_path)).tuning
    tuned = load(write_settings(tmp_path, hcl=hcl)).tuning
    assert tuned.factory.load_high == 2 and tuned.shares == {"red": 2.5}
    assert tuned.factory.period_s == default.factory.period_s


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ('host_name = "moss-0"\n', "", "host_name"),
        ("report_s = 2.0", 'report_s = "x"', "report_s"),
        ("10.2.0.1:2379", "10.2.0.1", "outside.state"),
        ("cancel_s = 41.0", "cancel_s = 9.0", "cancel_s"),
        ("write_rps = 20.0", "write_rps = 0.0", "write_rps"),
        ("txn_ops = 16", "txn_ops = 1", "txn_ops"),
        ("[outside]", "[outside", "not TOML"),
    ],
)
def test_invalid_settings_are_reported_in_one_line_with_file_and_field(
    tmp_path, capsys, old, new, field
):
    path = write_settings(tmp_path, SETTINGS_TOML.replace(old, new, 1))
    assert main(["--config", str(path)]) == 2
    message = capsys.readouterr().err.strip()
    assert "\n" not in message and str(path) in message and field in message


@pytest.mark.parametrize(
    ("hcl", "field"),
    [
        ("factory {\n weight_of_time = 3\n}\n", "weight_of_time"),
        ('factory {\n period_s = "x"\n}\n', "period_s"),
        ('team "red" {\n share = -1\n}\n', "share"),
        ("factory {", "not HCL"),
        ("leadership {\n ttl_s = 0.1\n}\n", "leadership"),
    ],
)
def test_invalid_operator_settings_are_reported_with_file_and_field(tmp_path, hcl, field):
    with pytest.raises(SettingsError, match=field) as error:
        load(write_settings(tmp_path, hcl=hcl))
    assert "node.hcl" in str(error.value)


def test_missing_settings_file_is_reported(tmp_path):
    with pytest.raises(SettingsError, match=r"none\.toml: No such file"):
        load(tmp_path / "none.toml")
