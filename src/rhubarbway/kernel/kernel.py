"""Registry of services and control of their life cycle."""

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
            If a service with this name is already registered.
        """
        if key.name in self.services:
            raise DuplicateServiceError(f"a service named {key.name!r} is already registered")
        self.services[key.name] = service
        return service

    def find(self, key: ServiceKey[S]) -> S:
        """Return the service registered under the key's name.

        Raises
        ------
        UnknownServiceError
            If no service with this name is registered.
        """
        try:
            return self.services[key.name]  # type: ignore[return-value]
        except KeyError:
            raise UnknownServiceError(f"no service named {key.name!r} is registered") from None

    def start(self) -> None:
        """Start all services; if one fails, stop those already started and re-raise the error."""
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
