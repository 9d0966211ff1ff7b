"""hive: one door as a process: its sockets, files and threads around the parts that decide."""
