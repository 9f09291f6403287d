import pytest

from burdockhaven_entry.platform import SettingsError, read_settings

VALID_SETTINGS = """
node: "front-a-1"
role: "entry"
ip: "10.1.0.25"
zone: "a"
listen:
  front: "10.1.0.25:8221"
  readiness: "10.1.0.25:8224"
  control: "10.1.0.25:8229"
  directory: "10.1.0.25:8220"
port_range: [7600, 7615]
seeds: ["10.1.0.25:8229", "10.2.0.17:8229"]
some_new_field: {x: 1}
bounds:
  grace_s: 8
  retry_budget_ratio: 0.2
  retry_window_s: 10
  retry_slack: 58
  quota_window_s: 8
  quota_slack: 140000
  ttl_max_s: 5
platform: {address: "10.200.1.7:8225", form: "kv"}
"""


def test_fields_are_read_and_unknown_fields_ignored():
    settings = read_settings(VALID_SETTINGS)
    assert settings.node == "front-a-1"
    assert settings.peer_port == 7600
    assert settings.seeds == ("10.1.0.25:8229", "10.2.0.17:8229")
    assert settings.grace_s == 8.0
    assert not settings.first_start
    assert read_settings(VALID_SETTINGS + "\nbootstrap: true\n").first_start
    assert settings.store_address == "10.200.1.7:8225"


@pytest.mark.parametrize(
    ("limits", "cores"),
    [
        ("limits: {cpu_share: 0.717, cores: 3, memory_mb: 552}", 2.151),
        ("limits: {cpu_share: 0.5}", 0.5),
        ("limits: {memory_mb: 200}", 0.0),
        ("", 0.0),
    ],
)
def test_processor_capacity_is_share_times_speed(limits, cores):
    settings = read_settings(f"{VALID_SETTINGS}\n{limits}\n")
    assert settings.processor_cores == pytest.approx(cores)


def test_limits_of_memory_and_descriptors():
    settings = read_settings(VALID_SETTINGS)
    assert settings.memory_bytes == 512_000_000
    assert settings.max_descriptors == 4_096
    text = f"{VALID_SETTINGS}\nlimits: {{memory_mb: 300, max_fds: 4100}}\n"
    settings = read_settings(text)
    assert settings.memory_bytes == 300_000_000
    assert settings.max_descriptors == 4_100


def test_faulty_limits_of_memory_and_descriptors_are_named():
    text = f"{VALID_SETTINGS}\nlimits: {{memory_mb: 0, max_fds: many}}\n"
    with pytest.raises(SettingsError) as error:
        read_settings(text)
    names = [line.partition(":")[0] for line in error.value.faults]
    assert names == ["limits.memory_mb", "limits.max_fds"]


def test_faulty_processor_capacity_is_named():
    text = f"{VALID_SETTINGS}\nlimits: {{cpu_share: -1, cores: many}}\n"
    with pytest.raises(SettingsError) as error:
        read_settings(text)
    names = [line.partition(":")[0] for line in error.value.faults]
    assert names == ["limits.cpu_share", "limits.cores"]


@pytest.mark.parametrize(
    ("old", "new", "fault"),
    [
        ('node: "front-a-1"', "", "node: missing"),
        ("grace_s: 8", "grace_s: soon", "bounds.grace_s:"),
        ("grace_s: 8", "grace_s: -1", "bounds.grace_s:"),
        ("[7600, 7615]", "[7600]", "port_range:"),
        ('control: "10.1.0.25:8229"', 'control: "here"', "listen.control:"),
        ('platform: {address: "10.200.1.7:8225", form: "kv"}', "", "platform: missing"),
    ],
)
def test_each_fault_is_named(old, new, fault):
    with pytest.raises(SettingsError) as error:
        read_settings(VALID_SETTINGS.replace(old, new))
    assert any(line.startswith(fault) for line in error.value.faults)


def test_all_faults_are_reported_at_once():
    text = VALID_SETTINGS.replace("grace_s: 8", "grace_s: x").replace('zone: "a"', "")
    with pytest.raises(SettingsError) as error:
        read_settings(text)
    assert len(error.value.faults) == 2


@pytest.mark.parametrize("text", ["", "- 1", "a: [", "\x00"])
def test_file_without_a_mapping_is_a_fault(text):
    with pytest.raises(SettingsError):
        read_settings(text)
