"""The process of a node: sockets, files, threads, settings, logs and metrics around its state machine."""
