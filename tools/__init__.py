"""Developer tools: the demo, the benchmarks, the test runner and the reference pages."""
