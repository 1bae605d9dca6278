"""Micro-kernel: registers services by name, finds, starts and stops them."""

from rhubarbway.kernel.kernel import Kernel
from rhubarbway.kernel.service import (
    DuplicateServiceError,
    Service,
    ServiceKey,
    UnknownServiceError,
)

__all__ = ["DuplicateServiceError", "Kernel", "Service", "ServiceKey", "UnknownServiceError"]
