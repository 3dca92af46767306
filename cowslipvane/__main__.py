"""Run the command line as `python -m cowslipvane`."""

from cowslipvane.cmdline import main

main()
