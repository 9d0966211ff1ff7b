"""Starts the program, without what it never uses: nothing here speaks TLS, whose module costs memory and start."""

import sys

sys.modules["ssl"] = None  # type: ignore[assignment]  # as where Python is built without it; asyncio knows that

if __name__ == "__main__":
    from hive.program import main

    sys.exit(main())
