"""Event loop, timers, sockets, HTTP server and client, and peer links."""
