"""The settings file: what is accepted and which faults are named."""

import pytest

from burdockhaven_entry.settings import (
    ASSIGNMENT_KEY_VARIABLE,
    OPERATOR_TOKEN_VARIABLE,
    EntrySettings,
)

VALID_SECTIONS = {
    "entry": {
        "name": "entry-1",
        "zone": "mu-north-1",
        "caller_address": "127.0.0.1:8101",
        "admin_address": "127.0.0.1:8201",
        "peer_address": "127.0.0.1:8301",
    },
    "platform": {
        "key_value_url": "http://127.0.0.1:2379",
        "vm_list_url": "http://127.0.0.1:2380/",
    },
}
SECRETS = {
    ASSIGNMENT_KEY_VARIABLE: "assignment-key-of-the-tests",
    OPERATOR_TOKEN_VARIABLE: "operator-token-of-the-tests",
}


def read_settings(tmp_path, changes=(), environ=SECRETS):
    """Settings from the good file with (section, key, value) changes; None removes."""
    sections = {section: dict(keys) for section, keys in VALID_SECTIONS.items()}
    for section, key, value in changes:
        keys = sections.setdefault(section, {})
        keys[key] = value
        if value is None:
            del keys[key]
    lines = []
    for section, keys in sections.items():
        lines.append(f"[{section}]")
        lines.extend(f"{key} = {value}" for key, value in keys.items())
    path = tmp_path / "entry.ini"
    path.write_text("\n".join(lines))
    return EntrySettings.from_file(path, environ)


def test_valid_file_is_read_with_defaults(tmp_path):
    settings = read_settings(tmp_path).unwrap()
    assert settings.name == "entry-1"
    assert (settings.peer_address.host, settings.peer_address.port) == (
        "127.0.0.1",
        8301,
    )
    assert settings.vm_list_url == "http://127.0.0.1:2380"
    assert settings.heartbeat_interval_ms == 500
    assert settings.member_timeout_ms == 3000
    assert settings.assignment_lifetime_s == 30
    assert settings.log_format == "text"


@pytest.mark.parametrize(
    ("section", "key", "value"),
    [
        ("entry", "name", None),
        ("entry", "name", "two words"),
        ("entry", "caller_address", "localhost:8101"),
        ("entry", "caller_address", "127.0.0.1"),
        ("entry", "caller_address", "127.0.0.1:70000"),
        ("entry", "caller_address", "0.0.0.0:8101"),
        ("entry", "caller_address", "::1:8101"),
        ("entry", "peer_address", "127.0.0.1:8201"),
        ("platform", "key_value_url", "127.0.0.1:2379"),
        ("platform", "key_value_url", "http://kv.example:2379"),
        ("platform", "vm_list_url", "http://127.0.0.1:99999"),
        ("platform", "vm_list_url", "ftp://127.0.0.1:99"),
        ("timing", "heartbeat_interval_ms", "0.5"),
        ("timing", "heartbeat_interval_ms", "49"),
        ("timing", "member_timeout_ms", "1000"),
        ("limits", "max_queue", "-1"),
        ("limits", "max_queue", "٣"),
        ("log", "format", "xml"),
        ("log", "colour", "red"),
        ("DEFAULT", "name", "entry-1"),
        ("extras", "key", "1"),
    ],
)
def test_fault_names_its_section_and_key(tmp_path, section, key, value):
    (fault,) = read_settings(tmp_path, [(section, key, value)]).unwrap_err()
    assert fault.section == section
    assert fault.key == key or section in ("extras", "DEFAULT")
    assert fault.allowed
    assert (
        value is None or value in str(fault) or section in ("extras", "DEFAULT", "log")
    )


def test_all_faults_are_reported_together(tmp_path):
    changes = [
        ("entry", "zone", None),
        ("timing", "member_timeout_ms", "soon"),
        ("log", "level", "loud"),
        ("extras", "key", "1"),
    ]
    faults = read_settings(tmp_path, changes, environ={}).unwrap_err()
    places = {(fault.section, fault.key) for fault in faults}
    assert places == {
        ("entry", "zone"),
        ("timing", "member_timeout_ms"),
        ("log", "level"),
        ("extras", ""),
        ("secrets", "assignment_key_file"),
        ("secrets", "operator_token_file"),
    }


def test_secrets_are_read_from_files_and_not_printed(tmp_path):
    key_file = tmp_path / "key"
    key_file.write_text("a-secret-from-a-file\n")
    changes = [("secrets", "assignment_key_file", str(key_file))]
    environ = {OPERATOR_TOKEN_VARIABLE: "a-token-from-the-environment"}
    settings = read_settings(tmp_path, changes, environ).unwrap()
    assert settings.assignment_key.reveal() == "a-secret-from-a-file"
    assert "a-secret" not in f"{settings!r} {settings.assignment_key}"
    assert "a-token" not in repr(settings)


def test_short_secret_is_refused_without_printing_it(tmp_path):
    environ = {**SECRETS, OPERATOR_TOKEN_VARIABLE: "hunter2"}
    (fault,) = read_settings(tmp_path, environ=environ).unwrap_err()
    assert fault.key == "operator_token_file"
    assert "hunter2" not in str(fault)


@pytest.mark.parametrize(
    "content",
    [b"name = x", b"[entry]\nname = a\nname = b", b"[entry]\nname", b"\xff\xfe"],
)
def test_invalid_ini_file_is_one_fault(tmp_path, content):
    path = tmp_path / "entry.ini"
    path.write_bytes(content)
    assert len(EntrySettings.from_file(path, SECRETS).unwrap_err()) == 1


def test_missing_file_is_one_fault(tmp_path):
    path = tmp_path / "absent.ini"
    assert len(EntrySettings.from_file(path, SECRETS).unwrap_err()) == 1
