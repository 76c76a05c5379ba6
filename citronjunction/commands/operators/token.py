"""citronctl token: generate a bearer token."""

import secrets

import typer

from citronjunction.organisations import models as organisations


def run() -> None:
    """Generate a bearer token and its hash for a release note."""
    secret = secrets.token_urlsafe(32)
    typer.echo(f'token        {secret}')
    typer.echo(f'token_sha256 {organisations.hash_token(secret)}')
