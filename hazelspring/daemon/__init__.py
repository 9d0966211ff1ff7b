"""The node as a process: sockets, files, threads, settings, logs and metrics around the state machine."""
