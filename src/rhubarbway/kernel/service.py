"""What the kernel expects of a service, and the typed key that names one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from rhubarbway.kernel.kernel import Kernel

S = TypeVar("S", bound="Service")


class Service(Protocol):
    """A part of the daemon with its own life cycle."""

    def start(self, kernel: Kernel) -> None:
        """Find the services that this one needs and start its tasks."""

    def stop(self) -> None:
        """Stop accepting work, finish what is in flight, and end the tasks."""


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
    """Raised when a name is registered twice."""
