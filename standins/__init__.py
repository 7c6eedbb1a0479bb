"""Stand-ins for the platform, the targets and the callers; they are not shipped."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")
