"""Checks what a process on the platform imports; memory is scarce there."""

import subprocess
import sys

# Libraries and modules of the standalone daemon that a platform process does not need.
UNUSED_MODULES = (
    "burdockhaven_core.actions",
    "burdockhaven_core.configuration",
    "burdockhaven_core.entry",
    "burdockhaven_core.key_value",
    "burdockhaven_core.orders",
    "burdockhaven_core.publishing",
    "burdockhaven_entry.admin_api",
    "burdockhaven_entry.kv_client",
    "burdockhaven_entry.order_dispatcher",
    "burdockhaven_entry.vm_list_client",
    "httpx",
    "litestar",
    "opentelemetry",
    "prometheus_client",
    "uvicorn",
    "zmq",
)


def test_platform_process_loads_no_module_of_the_standalone_daemon():
    program = (
        "import sys, burdockhaven_entry.main\n"
        "import burdockhaven_entry.gateway.gateway_daemon\n"
        f"print([name for name in {UNUSED_MODULES!r} if name in sys.modules])"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert process.stdout.strip() == "[]"


# Guards against starts that load OpenSSL and the certificates of the machine: where all
# members of a fleet start at once, their starts take most of its processor time.
def test_platform_start_loads_no_tls(tmp_path):
    settings = tmp_path / "settings.yaml"
    settings.write_text("node: x\n")
    program = (
        "import sys, burdockhaven_entry.main as main\n"
        f"main.main(['--platform', '--check', '--config', {str(settings)!r}])\n"
        "import burdockhaven_entry.gateway.gateway_daemon\n"
        "import aiohttp.connector as connector\n"
        "print(connector._SSL_CONTEXT_VERIFIED, '_ssl' in sys.modules)"
    )
    process = subprocess.run(
        [sys.executable, "-c", program], capture_output=True, text=True, check=True
    )
    assert process.stdout.splitlines()[-1] == "None False"


def test_every_public_core_name_is_importable():
    import burdockhaven_core

    for name in burdockhaven_core.__all__:
        assert getattr(burdockhaven_core, name) is not None
