"""Release notes and the moves they declare, with trials and withdrawal."""
