"""Programs for the developers: the demo, the benchmark, the test runner."""
