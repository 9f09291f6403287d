"""Command line of the daemon: parse options, read settings and run."""

import argparse
import gc
import os
import sys
from collections.abc import Iterable
from pathlib import Path
from types import ModuleType
from typing import cast

from burdockhaven_entry.process_signals import (
    EXIT_OK,
    ignore_until_exit,
    prepare_for_start,
)

EXIT_INVALID_SETTINGS = 2
# Modules that the HTTP library and asyncio import if they can. Nothing on the platform
# uses TLS, and each process would load OpenSSL and all certificates of the machine.
UNUSED_MODULES = ("ssl",)


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it is stopped; return the exit code."""
    prepare_for_start()
    options = _build_parser().parse_args(arguments)
    if options.platform:
        return _run_on_platform(options)
    if options.config is None:
        _build_parser().error("--config is required unless --platform is given")
    return _run_standalone(options)


def _run_on_platform(options: argparse.Namespace) -> int:
    """Run behind the users' platform, with the settings file that the platform writes.

    Each mode imports only its own libraries, because memory and start-up time are
    scarce on the platform's VMs.
    """
    _prepare_imports()
    from burdockhaven_entry.listening_sockets import open_listening_sockets
    from burdockhaven_entry.platform import (
        SETTINGS_VARIABLE,
        SettingsError,
        read_settings,
    )

    path = options.config or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path.read_text())
    except SettingsError as error:
        return _report_faults(path, error.faults)
    except OSError as error:
        return _report_faults(path, [str(error)])
    if options.check:
        print(f"{path}: the settings of VM {settings.node} are valid")
        return EXIT_OK
    sockets = open_listening_sockets(settings.listen_addresses)
    _configure_platform_logging()
    from burdockhaven_entry.gateway.gateway_daemon import run_gateway

    run_gateway(settings, sockets)
    return EXIT_OK


def _prepare_imports() -> None:
    """Make the imports cheaper; `GatewayDaemon.run` collects garbage again."""
    gc.disable()
    modules: dict[str, ModuleType | None] = dict.fromkeys(UNUSED_MODULES)
    # An import of a module that is None fails as if it were not installed.
    sys.modules.update(cast(dict[str, ModuleType], modules))


def _report_faults(path: Path, faults: Iterable[str]) -> int:
    """Log the faults of a settings file on the platform; return the exit code."""
    from burdockhaven_core.log_numbers import EventNumber
    from burdockhaven_entry.log_events import log

    _configure_platform_logging()
    for fault in faults:
        log(EventNumber.SETTINGS_FAULT, fault=f"{path}: {fault}")
    return EXIT_INVALID_SETTINGS


def _configure_platform_logging() -> None:
    from burdockhaven_entry.log_events import configure_logging
    from burdockhaven_entry.non_blocking_output import NonBlockingOutput

    configure_logging("json", "info", NonBlockingOutput(sys.stdout.fileno()))


def _run_standalone(options: argparse.Namespace) -> int:
    """Run standalone, with the product's own interfaces and settings."""
    import asyncio

    import uvloop
    from result import Err

    from burdockhaven_core.log_numbers import EventNumber
    from burdockhaven_entry.daemon import Daemon
    from burdockhaven_entry.log_events import configure_logging, log
    from burdockhaven_entry.settings import EntrySettings

    async def run() -> None:
        daemon = Daemon.from_config(settings, asyncio.get_running_loop().time)
        await daemon.run()
        ignore_until_exit()

    read = EntrySettings.from_file(options.config, os.environ)
    if isinstance(read, Err):
        configure_logging("text", "info")
        for fault in read.err_value:
            log(EventNumber.SETTINGS_FAULT, fault=str(fault))
        return EXIT_INVALID_SETTINGS
    settings = read.ok_value
    if options.check:
        print(f"{options.config}: the settings of entry {settings.name} are valid")
        return EXIT_OK
    configure_logging(settings.log_format, settings.log_level)
    uvloop.run(run())
    return EXIT_OK


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="burdockhaven-entry", description="The daemon of an entry VM."
    )
    parser.add_argument(
        "--config",
        type=Path,
        help="settings file: INI, or with --platform the platform's YAML",
    )
    parser.add_argument(
        "--platform",
        action="store_true",
        help="run on the users' platform; without --config, the platform's environment "
        "variable names the file",
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
