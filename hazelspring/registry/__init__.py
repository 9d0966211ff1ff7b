"""The registry of servers: versioned tables that nodes exchange, and the reader of the platform's list."""
