"""Define the command-line programs.

Modules are imported by the program that needs them, so that a process does
not load those of the others.
"""

import asyncio
import gc
import sys

from poplarrack.errors import PoplarrackError

SWITCH_INTERVAL_SECONDS = 0.0005
GC_THRESHOLDS = (5_000, 20, 50)


def _run(component, name):
    """Run a command line and exit with the code of its error's kind."""
    from fire import Fire

    try:
        Fire(component, name=name)
    except PoplarrackError as error:
        print(f'{name}: {error}', file=sys.stderr)
        sys.exit(error.answer.exit_code)
    except KeyboardInterrupt:
        sys.exit(130)


def node(settings, check_settings=False, show_settings=False):
    """Run a node.

    :param settings: name of the settings file.
    :param check_settings: only validate the settings.
    :param show_settings: only print the effective settings.
    """
    from json import dumps

    from poplarrack.settings import load_settings
    from poplarrack.settings import show_settings as show

    loaded = load_settings(settings)
    if show_settings:
        print(dumps(show(loaded), indent=2))
    elif check_settings:
        print(f'{settings}: no faults')
    else:
        _serve_node(loaded)


def _serve_node(settings):
    from poplarrack.logs import configure_logs
    from poplarrack.node_servers import NodeServer

    configure_logs(settings.log_level, node=settings.node_id)
    tune_interpreter()

    async def serve():
        # gRPC objects bind to the event loop in which they are created.
        await NodeServer(settings).run()

    asyncio.run(serve())


def tune_interpreter():
    """Keep pauses of the interpreter off the call path.

    The thread that serves pages releases the interpreter lock after half a
    millisecond, and objects created at start-up are excluded from garbage
    collection.
    """
    sys.setswitchinterval(SWITCH_INTERVAL_SECONDS)
    gc.collect()
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def platform(address='127.0.0.1:2379', writes=500, reads=2000, threads=64):
    """Run the stand-in for the platform until it is stopped.

    :param address: IP number and port to listen on.
    :param writes: writes per second that it accepts.
    :param reads: reads per second that it accepts.
    :param threads: number of threads that serve requests.
    """
    from poplarrack.logs import configure_logs
    from poplarrack.stand_ins.platforms import serve_platform

    configure_logs('INFO', program='platform')
    serve_platform(address, writes, reads, threads)


def backend(service, version, address, announce_address, **behaviour):
    """Run the stand-in for a backend server until it is stopped.

    Further flags set the fields of its Behaviour, such as --fail_rate.

    :param service: name of the service.
    :param version: version of the service.
    :param address: IP number and port to listen on.
    :param announce_address: the node's address for announcements.
    """
    from poplarrack.logs import configure_logs
    from poplarrack.stand_ins.backend_servers import serve_backend
    from poplarrack.stand_ins.backends import Behaviour

    configure_logs('INFO', program='backend', version=str(version))
    serve_backend(
        service,
        str(version),
        address,
        announce_address,
        Behaviour(**behaviour),
    )


def run_node():
    """Run ``poplarrack-node``."""
    _run(node, 'poplarrack-node')


def run_ctl():
    """Run ``poplarrack-ctl``."""
    from poplarrack.commands import Commands

    _run(Commands, 'poplarrack-ctl')


def run_platform():
    """Run ``poplarrack-platform-stand-in``."""
    _run(platform, 'poplarrack-platform-stand-in')


def run_backend():
    """Run ``poplarrack-backend-stand-in``."""
    _run(backend, 'poplarrack-backend-stand-in')


def run_bench():
    """Run ``poplarrack-bench``."""
    from poplarrack.benches.cases import Bench

    _run(Bench, 'poplarrack-bench')
