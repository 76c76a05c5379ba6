"""HTTP interface of model engines and plain services."""
