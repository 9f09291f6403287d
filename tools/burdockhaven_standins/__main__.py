"""Command line: `python -m burdockhaven_standins engine|service|kv|vms`."""

import argparse
import dataclasses
from collections.abc import Callable

from litestar import Litestar

from burdockhaven_standins import engine, key_value, service, vm_list
from burdockhaven_standins.engine_model import EngineConfig
from burdockhaven_standins.server import serve

MakeApp = Callable[[argparse.Namespace], Litestar]


def main() -> None:
    """Serve the stand-in named on the command line until a signal stops it."""
    options = _parser().parse_args()
    make_app: MakeApp = options.make_app
    serve(make_app(options), options.port)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="burdockhaven_standins")
    kinds = parser.add_subparsers(required=True)
    _add_engine(_add_kind(kinds, "engine", _engine_app))
    plain = _add_kind(kinds, "service", _service_app)
    plain.add_argument("--call-s", type=float, default=0.02)
    plain.add_argument("--slots", type=int, default=8)
    _add_kind(kinds, "kv", lambda options: key_value.make_app())
    vms = _add_kind(kinds, "vms", lambda options: vm_list.make_app(options.lag_s))
    vms.add_argument("--lag-s", type=float, default=0.0)
    return parser


def _add_kind(
    kinds: "argparse._SubParsersAction[argparse.ArgumentParser]",
    name: str,
    make_app: MakeApp,
) -> argparse.ArgumentParser:
    parser = kinds.add_parser(name)
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default=name, help="name shown in the process list")
    parser.set_defaults(make_app=make_app)
    return parser


def _add_engine(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--stamps", action="store_true")
    for field in dataclasses.fields(EngineConfig):
        option = "--" + field.name.replace("_", "-")
        parser.add_argument(option, type=field.type, default=field.default)


def _engine_app(options: argparse.Namespace) -> Litestar:
    names = [field.name for field in dataclasses.fields(EngineConfig)]
    config = EngineConfig(**{name: getattr(options, name) for name in names})
    return engine.make_app(
        config, engine.EngineOptions(options.checks_fencing, options.stamps)
    )


def _service_app(options: argparse.Namespace) -> Litestar:
    return service.make_app(options.call_s, options.slots)


if __name__ == "__main__":
    main()
