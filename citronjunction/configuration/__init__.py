"""The accepted configuration and its revisions."""
