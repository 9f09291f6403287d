"""Request gateway on the users' platform: sockets, tasks, timeouts."""
