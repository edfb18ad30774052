"""Start the command line for ``python -m sesameport``."""

from sesameport.commands import main

if __name__ == "__main__":
    main()
