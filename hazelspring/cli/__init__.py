"""The operator's command line client, `hazelspringctl`."""
