"""The service protocol, the typed keys of services, and the errors of the registry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from rhubarbway.kernel.kernel import Kernel

S = TypeVar("S", bound="Service")


class Service(Protocol):
    """A part of a daemon that the kernel starts and stops."""

    def start(self, kernel: Kernel) -> None:
        """Look up the services that this one depends on, and start its tasks."""

    def stop(self) -> None:
        """Stop accepting work, finish or abort the work in flight, and end the tasks."""


class ServiceKey(Generic[S]):
    """The name of a service together with the type that ``Kernel.find`` returns for it.

    Examples
    --------
    >>> ServiceKey("frontend").name
    'frontend'
    """

    __slots__ = ("name",)

    def __init__(self, name: str) -> None:
        self.name = name

    def __repr__(self) -> str:
        return f"ServiceKey({self.name!r})"


class UnknownServiceError(LookupError):
    """Raised when no service is registered under a name."""


class DuplicateServiceError(ValueError):
    """Raised when a name is already registered."""
