"""Command line of the daemon."""

import argparse
import asyncio
import os
import sys
from pathlib import Path

import uvloop
from result import Err

from burdockhaven_core.log_numbers import EventNumber
from burdockhaven_entry.daemon import Daemon
from burdockhaven_entry.log_events import configure_logging, log
from burdockhaven_entry.settings import EntrySettings

EXIT_OK = 0
EXIT_SETTINGS = 2


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until it is told to stop; return the exit code."""
    options = _parser().parse_args(arguments)
    read = EntrySettings.from_file(options.config, os.environ)
    if isinstance(read, Err):
        configure_logging("text", "info")
        for fault in read.err_value:
            log(EventNumber.SETTINGS_FAULT, fault=str(fault))
        return EXIT_SETTINGS
    settings = read.ok_value
    if options.check:
        print(f"{options.config}: the settings of entry {settings.name} are right")
        return EXIT_OK
    configure_logging(settings.log_format, settings.log_level)
    uvloop.run(_run(settings))
    return EXIT_OK


async def _run(settings: EntrySettings) -> None:
    daemon = Daemon.from_config(settings, asyncio.get_running_loop().time)
    await daemon.run()


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="burdockhaven-entry", description="The daemon of an entry VM."
    )
    parser.add_argument(
        "--config", type=Path, required=True, help="the settings, an INI file"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and do nothing else"
    )
    return parser


if __name__ == "__main__":
    sys.exit(main())
