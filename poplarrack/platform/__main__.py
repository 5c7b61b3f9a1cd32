"""Run a node on the platform."""

from poplarrack.early_signals import hold_signals

if __name__ == '__main__':
    # The libraries take some tenths of a second to load.
    hold_signals()
    from poplarrack.platform.processes import main

    main()
