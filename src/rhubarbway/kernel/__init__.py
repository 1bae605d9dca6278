"""Micro-kernel: registers, finds, starts and stops services by name."""

from rhubarbway.kernel.kernel import Kernel
from rhubarbway.kernel.service import (
    DuplicateServiceError,
    Service,
    ServiceKey,
    UnknownServiceError,
)

__all__ = ["DuplicateServiceError", "Kernel", "Service", "ServiceKey", "UnknownServiceError"]
