"""A worker process whose streams have neither a length nor chunks: each ends
with its connection. Arguments: ID HOST EVENTS GAP_S [chunked], the last one
for streams in chunks. Prints its port first."""

import socket
import sys
import threading
import time

from ospreysite import Closed, Stream, encode, read_request, status_line

WORKER, HOST = sys.argv[1], sys.argv[2]
EVENTS, GAP_S = int(sys.argv[3]), float(sys.argv[4])
IS_CHUNKED = sys.argv[5:] == ["chunked"]


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def say(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def serve(sock):
    stream = Stream(sock)
    try:
        request = read_request(stream)
        name = request.field("X-Request-Id")
        if request.field("X-Expect-Instance") != WORKER:
            sock.sendall(encode(status_line(421), [("X-Request-Id", name),
                                                   ("X-Not-Executed", "1")]))
            return
        first = int(request.field("Last-Event-Id", "0")) + 1
        say(f"run    {WORKER} {name} from event {first}")
        fields = [("X-Request-Id", name),
                  ("X-Server-Stamp", f"{WORKER}.{name}"),
                  ("Content-Type", "text/event-stream"),
                  ("Connection", "close")]
        if IS_CHUNKED:
            fields.append(("Transfer-Encoding", "chunked"))
        sock.sendall(encode(status_line(200), fields, length=False))
        for event in range(first, EVENTS + 1):
            time.sleep(GAP_S)
            text = f"id: {event}\ndata: piece {event}\n\n".encode()
            sock.sendall(chunk(text) if IS_CHUNKED else text)
        if IS_CHUNKED:
            sock.sendall(b"0\r\n\r\n")
        say(f"end    {WORKER} {name} after event {EVENTS}")
    except (Closed, OSError):
        pass
    finally:
        sock.close()


def main():
    listener = socket.socket()
    listener.bind((HOST, 0))
    listener.listen(128)
    say(str(listener.getsockname()[1]))
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve, args=(sock,), daemon=True).start()


main()
