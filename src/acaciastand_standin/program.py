"""Command line of the stand-ins: one subcommand per module."""

from __future__ import annotations

import typer

app = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)

Listen = typer.Option("127.0.0.1:0", help="Address as ip:port; port 0 takes a free one.")


@app.callback()
def _stand_ins() -> None:
    """Small stand-ins for the platform, for tests and the demo."""


@app.command()
def store(listen: str = Listen) -> None:
    """Serve the key-value service."""
    from acaciastand_standin import store as module

    module.serve(listen)


@app.command()
def worker(
    listen: str = Listen,
    cores: float = typer.Option(32.0, help="Processor cores."),
    memory_mb: int = typer.Option(125_000, help="Memory in megabytes."),
    accelerators: int = typer.Option(0, help="Accelerators."),
) -> None:
    """Serve one worker."""
    from acaciastand_standin import worker as module

    module.serve(listen, cores, memory_mb, accelerators)


@app.command()
def target(
    listen: str = Listen,
    service_seconds: float = typer.Option(0.005, help="Time to answer one request, in seconds."),
) -> None:
    """Serve one target."""
    from acaciastand_standin import target as module

    module.serve(listen, service_seconds)


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
