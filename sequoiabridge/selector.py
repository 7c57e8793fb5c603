"""A selector for curio's kernel that leaves sockets registered with epoll between waits.

curio's kernel unregisters a socket after each wait, which costs system calls. This selector keeps
the registration and removes it only when an event arrives for which no task waits. Pass it as
`curio.run(main, selector=LazySelector())`.
"""

import select
from selectors import EVENT_READ, EVENT_WRITE

MASKS = {
    EVENT_READ: select.EPOLLIN,
    EVENT_WRITE: select.EPOLLOUT,
    EVENT_READ | EVENT_WRITE: select.EPOLLIN | select.EPOLLOUT,
}
NOT_READ = ~select.EPOLLIN
NOT_WRITE = ~select.EPOLLOUT


class Descriptor:
    """Identifies an open file; unlike its number, it is never reused for another file.

    All waits on a file must use the same object, and each file needs an object of its own.
    """

    __slots__ = ("number",)

    def __init__(self, number: int):
        self.number = number

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.number


class Key:
    """A file for which a task waits; curio reads these attributes."""

    __slots__ = ("fileobj", "events", "data")

    def __init__(self, fileobj: object, events: int, data: object):
        self.fileobj = fileobj
        self.events = events
        self.data = data


class LazySelector:
    """The part of `selectors.EpollSelector` that curio's kernel uses.

    Attributes:
        keys: Files for which tasks wait, by file descriptor.
        registered: File object and events registered with epoll, by file descriptor. Another
            object for the same descriptor means that the descriptor was closed and reused.
    """

    def __init__(self):
        self.epoll = select.epoll()
        self.keys: dict[int, Key] = {}
        self.registered: dict[int, tuple[object, int]] = {}

    def register(self, fileobj: object, events: int, data: object = None) -> Key:
        """Wait for `events` on `fileobj`, a file descriptor or an object with `fileno`."""
        fd = _descriptor_of(fileobj)
        registered = self.registered.get(fd)
        if registered is None or registered[0] is not fileobj or registered[1] != events:
            self._set_epoll_events(fd, fileobj, events)
        key = self.keys[fd] = Key(fileobj, events, data)
        return key

    def unregister(self, fileobj: object) -> Key:
        """Stop waiting for `fileobj`."""
        key = self.keys.pop(_descriptor_of(fileobj))
        if isinstance(fileobj, int):
            self._remove_from_epoll(fileobj)
        return key

    def modify(self, fileobj: object, events: int, data: object = None) -> Key:
        """Wait for other `events` on `fileobj`."""
        return self.register(fileobj, events, data)

    def get_key(self, fileobj: object) -> Key:
        """Return the key of `fileobj`; raise `KeyError` if no task waits for it."""
        return self.keys[_descriptor_of(fileobj)]

    def select(self, timeout: float | None = None) -> list[tuple[Key, int]]:
        """Return keys with their events, after at most `timeout` seconds."""
        try:
            events = self.epoll.poll(timeout, max(len(self.registered), 1))
        except InterruptedError:
            return []
        ready = []
        for fd, event in events:
            key = self.keys.get(fd)
            if key is None:
                self._remove_from_epoll(fd)
                continue
            mask = (EVENT_WRITE if event & NOT_READ else 0) | (
                EVENT_READ if event & NOT_WRITE else 0
            )
            if mask := mask & key.events:
                ready.append((key, mask))
        return ready

    def close(self) -> None:
        """Close the epoll descriptor."""
        self.epoll.close()
        self.keys.clear()
        self.registered.clear()

    def _set_epoll_events(self, fd: int, fileobj: object, events: int) -> None:
        mask = MASKS[events]
        try:
            if fd in self.registered:
                self.epoll.modify(fd, mask)
            else:
                self.epoll.register(fd, mask)
        except FileNotFoundError:
            self.epoll.register(fd, mask)
        self.registered[fd] = (fileobj, events)

    def _remove_from_epoll(self, fd: int) -> None:
        self.registered.pop(fd, None)
        try:
            self.epoll.unregister(fd)
        except OSError:
            # The file was closed, which removed it from epoll.
            return


def _descriptor_of(fileobj: object) -> int:
    return fileobj if isinstance(fileobj, int) else fileobj.fileno()
