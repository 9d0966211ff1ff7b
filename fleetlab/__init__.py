"""A fleet on one machine: the emulator, load and experiment tool.  `run` never imports it."""
