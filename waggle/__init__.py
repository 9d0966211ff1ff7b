"""waggle: news of servers: what the platform lists, in versions that doors tell each other."""
