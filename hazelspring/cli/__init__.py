"""The command-line client for operators, `hazelspringctl`."""
