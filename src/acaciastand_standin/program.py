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


def main() -> None:
    """Run the command line."""
    app()


if __name__ == "__main__":
    main()
