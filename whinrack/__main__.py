"""Entry point of ``python -m whinrack``."""

from whinrack.cli import main

if __name__ == "__main__":
    main()
