"""citron-entry: serve callers and the directory of entries."""

import typer

from citronjunction.commands import common
from citronjunction.entry import node

app = typer.Typer(add_completion=False)


@app.command()
def run(
    config: common.ConfigOption,
    check: common.CheckOption = False,
    version: common.VersionOption = False,
) -> None:
    """Serve callers; SIGTERM starts a graceful shutdown."""
    common.start_logging()
    common.run_node(config, node.EntryNode, only_check=check)


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
