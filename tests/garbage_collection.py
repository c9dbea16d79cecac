"""Keeps garbage collection out of tests whose outcome depends on short real times."""

import gc


def suspend_garbage_collection(test_case):
    """Collect garbage now, and not again until the test ends; a collection may take 0.6 s."""
    gc.collect()
    gc.disable()
    test_case.addCleanup(gc.enable)
