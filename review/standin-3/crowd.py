"""Clients out of control: many chunked bodies that stop just short of their
end and stay open. A client that is refused leaves that connection open for a
while and connects again. Arguments: HOST PORT CLIENTS SECONDS. Prints how many
answers of which status it got."""

import collections
import selectors
import socket
import sys
import time

HOST, PORT = sys.argv[1], int(sys.argv[2])
CLIENTS, SECONDS = int(sys.argv[3]), float(sys.argv[4])
STAY_S = 1.5
UNFINISHED = (b"POST /confirm/x HTTP/1.1\r\nHost: desk.example\r\n"
              b"X-Request-Id: crowd\r\nApi-Key: none\r\n"
              b"Transfer-Encoding: chunked\r\n\r\n"
              b"40\r\n" + b"a" * 64 + b"\r\n40\r\n" + b"b" * 60)


def connect(selector):
    sock = socket.socket()
    sock.setblocking(False)
    sock.connect_ex((HOST, PORT))
    selector.register(sock, selectors.EVENT_WRITE)


def main():
    selector = selectors.DefaultSelector()
    statuses = collections.Counter()
    for _ in range(CLIENTS):
        connect(selector)
    refused = collections.deque()
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        while refused and refused[0][0] < time.monotonic():
            refused.popleft()[1].close()
        for key, events in selector.select(0.05):
            sock = key.fileobj
            try:
                if events & selectors.EVENT_WRITE:
                    sock.send(UNFINISHED)
                    selector.modify(sock, selectors.EVENT_READ)
                    continue
                data = sock.recv(4096)
                if data:
                    statuses[data.split(b" ")[1].decode()] += 1
                    continue
            except OSError:
                pass
            selector.unregister(sock)
            refused.append((time.monotonic() + STAY_S, sock))
            connect(selector)
    print(dict(statuses))


main()
