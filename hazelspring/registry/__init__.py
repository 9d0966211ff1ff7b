"""The registry of servers: tables in versions that nodes tell each other, and who reads the platform's list."""
