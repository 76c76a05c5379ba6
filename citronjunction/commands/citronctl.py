"""citronctl: manage and inspect a deployment."""

import typer

from citronjunction.commands import common
from citronjunction.commands.operators import (
    apply,
    check,
    explain,
    history,
    settings,
    status,
    token,
    trace,
    validate,
)

app = typer.Typer(add_completion=False, no_args_is_help=True)


@app.callback()
def configure(version: common.VersionOption = False) -> None:
    """Manage release notes and inspect a deployment.

    Exit codes: 0 done, 1 invalid, 2 usage, 3 conflict, 4 store unavailable,
    5 move taken back.
    """


app.command('check')(check.run)
app.command('validate')(validate.run)
app.command('apply')(apply.run)
app.command('status')(status.run)
app.command('history')(history.run)
app.command('explain')(explain.run)
app.command('trace')(trace.run)
app.command('settings')(settings.run)
app.command('token')(token.run)


def main() -> None:
    """Run the command."""
    app()


if __name__ == '__main__':
    main()
