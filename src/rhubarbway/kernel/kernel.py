"""The registry of services and their life cycle."""

from __future__ import annotations

from rhubarbway.kernel.service import (
    DuplicateServiceError,
    S,
    Service,
    ServiceKey,
    UnknownServiceError,
)


class Kernel:
    """Holds services by name, starts them in order of registration and stops them in reverse.

    Examples
    --------
    >>> class Clock:
    ...     def start(self, kernel): pass
    ...     def stop(self): pass
    >>> kernel = Kernel()
    >>> CLOCK = ServiceKey("clock")
    >>> clock = kernel.register(CLOCK, Clock())
    >>> kernel.find(CLOCK) is clock
    True
    """

    __slots__ = ("services", "started")

    def __init__(self) -> None:
        self.services: dict[str, Service] = {}
        self.started: list[Service] = []

    def register(self, key: ServiceKey[S], service: S) -> S:
        """Add a service under the key's name and return it.

        Raises
        ------
        DuplicateServiceError
            If the name is already taken.
        """
        if key.name in self.services:
            raise DuplicateServiceError(f"service {key.name!r} is registered twice")
        self.services[key.name] = service
        return service

    def find(self, key: ServiceKey[S]) -> S:
        """Return the service registered under the key's name.

        Raises
        ------
        UnknownServiceError
            If no service has this name.
        """
        try:
            return self.services[key.name]  # type: ignore[return-value]
        except KeyError:
            raise UnknownServiceError(f"no service is named {key.name!r}") from None

    def start(self) -> None:
        """Start all services; if one fails, stop those already started and re-raise."""
        for service in list(self.services.values()):
            try:
                service.start(self)
            except BaseException:
                self.stop()
                raise
            self.started.append(service)

    def stop(self) -> None:
        """Stop the started services in reverse order."""
        while self.started:
            self.started.pop().stop()
