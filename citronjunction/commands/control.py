"""citron-control: run release moves and placement under leases."""

import typer

from citronjunction.commands import common
from citronjunction.control import node

app = typer.Typer(add_completion=False)


@app.command()
def run(
    config: common.ConfigOption,
    check: common.CheckOption = False,
    version: common.VersionOption = False,
) -> None:
    """Run moves and placement next to the entry with the same settings."""
    common.start_logging()
    common.run_node(config, node.ControlNode, only_check=check)


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
