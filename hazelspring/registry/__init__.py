"""The registry of servers: tables in versions that nodes send each other, and who reads the platform's list."""
