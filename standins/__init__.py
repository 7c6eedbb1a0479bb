"""Test doubles of the platform, the targets and the callers, and tools to run them.

They run as processes of their own, for tests and measurements; they are not shipped.
"""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
