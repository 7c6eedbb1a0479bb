"""Settings of the C library's allocator, where it is glibc.

By default glibc raises the size from which it maps a block on its own as soon as one
is freed. Large bodies then come from the heap, and a small block behind them keeps
their memory from being returned.
"""

import ctypes

M_MMAP_THRESHOLD = -3  # number of the option in <malloc.h>
MMAP_THRESHOLD_BYTES = 131_072  # the initial value; setting it keeps it constant


def load_glibc() -> ctypes.CDLL | None:
    """Return the C library of this process; None if it is not glibc."""
    library = ctypes.CDLL(None)
    return library if hasattr(library, "gnu_get_libc_version") else None


def map_large_blocks() -> None:
    """Have large blocks mapped on their own, so that freeing returns them at once."""
    library = load_glibc()
    if library is not None:
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)


def return_free_memory() -> None:
    """Return free memory of the heap to the system."""
    library = load_glibc()
    if library is not None:
        library.malloc_trim(0)
