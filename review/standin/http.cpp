#include "http.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

namespace ospreystage::review {

namespace {

constexpr int poll_ms = 50;
constexpr int backlog = 256;
constexpr std::size_t read_bytes = 64 * 1024;

sockaddr_in to_raw(const endpoint& address) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &raw.sin_addr);
    return raw;
}

bool send_all(int descriptor, const std::string& bytes) {
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool is_readable(int descriptor, int wait_ms) {
    pollfd item{descriptor, POLLIN, 0};
    return poll(&item, 1, wait_ms) > 0;
}

std::string encode_head(const std::string& start, const field_list& fields) {
    std::string out = start + "\r\n";
    for (const auto& [name, value] : fields)
        out.append(name).append(": ").append(value).append("\r\n");
    return out;
}

std::string status_line(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " Status";
}

/// Message of which the head has been received.
struct parsed_head {
    std::string start;
    field_list fields;
    std::size_t bytes = 0;
};

std::optional<parsed_head> parse_head(const std::string& input) {
    const std::size_t end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return std::nullopt;
    parsed_head head;
    head.bytes = end + 4;
    std::size_t at = 0;
    while (at < end) {
        const std::size_t line_end = std::min(input.find("\r\n", at), end);
        const std::string line = input.substr(at, line_end - at);
        at = line_end + 2;
        if (head.start.empty()) {
            head.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t first = line.find_first_not_of(' ', colon + 1);
        head.fields.emplace_back(
            line.substr(0, colon),
            first == std::string::npos ? "" : line.substr(first));
    }
    return head;
}

/// Result of decoding a body from the input behind its head.
struct parsed_body {
    std::string text;
    std::size_t bytes = 0;
};

std::optional<parsed_body> parse_chunks(const std::string& input,
                                        std::size_t at) {
    parsed_body body;
    while (true) {
        const std::size_t line_end = input.find("\r\n", at);
        if (line_end == std::string::npos)
            return std::nullopt;
        const std::size_t size = std::strtoul(input.c_str() + at, nullptr, 16);
        at = line_end + 2;
        if (input.size() < at + size + 2)
            return std::nullopt;
        body.text += input.substr(at, size);
        at += size + 2;
        if (size == 0) {
            body.bytes = at;
            return body;
        }
    }
}

/// Returns the body if it has arrived whole; `bytes` counts the head too.
std::optional<parsed_body> parse_body(const parsed_head& head,
                                      const std::string& input) {
    if (find_field(head.fields, "Transfer-Encoding"))
        return parse_chunks(input, head.bytes);
    const std::string length =
        find_field(head.fields, "Content-Length").value_or("0");
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    if (input.size() < head.bytes + size)
        return std::nullopt;
    return parsed_body{input.substr(head.bytes, size), head.bytes + size};
}

/// Appends what has arrived; returns false at the end of the connection.
bool read_some(int descriptor, std::string& input) {
    std::array<char, read_bytes> buffer{};
    const ssize_t count = ::recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EINTR || errno == EAGAIN))
        return true;
    if (count <= 0)
        return false;
    input.append(buffer.data(), static_cast<std::size_t>(count));
    return true;
}

/// Takes the next whole request from the input.
std::optional<http_request> take_request(std::string& input) {
    const auto head = parse_head(input);
    if (!head)
        return std::nullopt;
    const auto body = parse_body(*head, input);
    if (!body)
        return std::nullopt;
    http_request request;
    const std::size_t first = head->start.find(' ');
    const std::size_t second = head->start.rfind(' ');
    request.method = head->start.substr(0, first);
    request.target = head->start.substr(first + 1, second - first - 1);
    request.fields = head->fields;
    request.body = body->text;
    input.erase(0, body->bytes);
    return request;
}

} // namespace

std::string to_string(const endpoint& address) {
    return address.ip + ":" + std::to_string(address.port);
}

std::optional<std::string> find_field(const field_list& fields,
                                      const std::string& name) {
    const auto found =
        std::find_if(fields.begin(), fields.end(), [&](const auto& field) {
            return strcasecmp(field.first.c_str(), name.c_str()) == 0;
        });
    if (found == fields.end())
        return std::nullopt;
    return found->second;
}

// ---- http_request ----------------------------------------------------------

std::string http_request::path() const {
    return target.substr(0, target.find('?'));
}

std::string http_request::query(const std::string& name) const {
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string item = target.substr(
            at + 1, end == std::string::npos ? end : end - at - 1);
        if (item.starts_with(name + "="))
            return item.substr(name.size() + 1);
        at = end;
    }
    return "";
}

std::string http_request::field(const std::string& name) const {
    return find_field(fields, name).value_or("");
}

// ---- http_reply ------------------------------------------------------------

void http_reply::send(int status, const field_list& fields,
                      const std::string& body) {
    std::string out = encode_head(status_line(status), fields);
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (!send_all(descriptor_, out))
        cut();
}

void http_reply::send_json(int status, const field_list& fields,
                           const std::string& body) {
    field_list all = fields;
    all.emplace_back("Content-Type", "application/json");
    send(status, all, body);
}

void http_reply::begin_chunks(int status, const field_list& fields) {
    if (!send_all(descriptor_, encode_head(status_line(status), fields) +
                                   "Transfer-Encoding: chunked\r\n\r\n"))
        cut();
}

bool http_reply::write_chunk(const std::string& text) {
    std::array<char, 32> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    if (!send_all(descriptor_, size.data() + text + "\r\n"))
        cut();
    return !is_cut_;
}

void http_reply::finish_chunks() {
    if (!send_all(descriptor_, "0\r\n\r\n"))
        cut();
}

bool http_reply::has_left() const {
    if (!is_readable(descriptor_, 0))
        return false;
    char byte = 0;
    const ssize_t count =
        ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

// ---- listener --------------------------------------------------------------

listener::listener(const endpoint& local) : local_(local) {
    descriptor_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in raw = to_raw(local);
    socklen_t size = sizeof(raw);
    if (bind(descriptor_, reinterpret_cast<const sockaddr*>(&raw), size) != 0 ||
        listen(descriptor_, backlog) != 0)
        throw std::runtime_error("cannot listen on " + to_string(local) + ": " +
                                 std::strerror(errno));
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&raw), &size);
    local_.port = ntohs(raw.sin_port);
}

listener::~listener() {
    close(descriptor_);
}

int listener::accept_one() const {
    if (!is_readable(descriptor_, poll_ms))
        return -1;
    const int accepted = accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
    const int on = 1;
    if (accepted >= 0)
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return accepted;
}

void listener::stop() const {
    shutdown(descriptor_, SHUT_RDWR);
}

// ---- http_server -----------------------------------------------------------

http_server::http_server(const endpoint& local, handler handle)
    : listener_(local), handle_(std::move(handle)),
      acceptor_([this] { accept_all(); }) {}

http_server::~http_server() {
    is_stopping_ = true;
    acceptor_.join();
    end_all();
    remove_done(true);
}

void http_server::end_all() {
    is_stopping_ = true;
    listener_.stop();
    const std::lock_guard lock(mutex_);
    for (const auto& item : connections_)
        shutdown(item->descriptor, SHUT_RDWR);
}

void http_server::accept_all() {
    while (!is_stopping_) {
        remove_done(false);
        const int descriptor = listener_.accept_one();
        if (descriptor < 0)
            continue;
        const std::lock_guard lock(mutex_);
        if (is_stopping_) {
            close(descriptor);
            continue;
        }
        auto& item = connections_.emplace_back(std::make_unique<connection>());
        item->descriptor = descriptor;
        item->worker = std::thread([this, &target = *item] { serve(target); });
    }
}

/// Removes the connections that have ended, or all of them.
void http_server::remove_done(bool includes_all) {
    std::list<std::unique_ptr<connection>> done;
    {
        const std::lock_guard lock(mutex_);
        for (auto item = connections_.begin(); item != connections_.end();) {
            const auto next = std::next(item);
            if (includes_all || (*item)->is_done)
                done.splice(done.end(), connections_, item);
            item = next;
        }
    }
    for (const auto& item : done) {
        item->worker.join();
        close(item->descriptor);
    }
}

void http_server::serve(connection& target) {
    std::string input;
    bool is_open = true;
    while (is_open && !is_stopping_) {
        if (const auto request = take_request(input)) {
            http_reply reply(target.descriptor);
            handle_(*request, reply);
            is_open = !reply.is_cut();
        } else if (is_readable(target.descriptor, poll_ms)) {
            is_open = read_some(target.descriptor, input);
        }
    }
    shutdown(target.descriptor, SHUT_RDWR);
    target.is_done = true;
}

// ---- Client ----------------------------------------------------------------

int connect_to(const endpoint& server, milliseconds timeout) {
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in raw = to_raw(server);
    const int started = ::connect(
        descriptor, reinterpret_cast<const sockaddr*>(&raw), sizeof(raw));
    pollfd item{descriptor, POLLOUT, 0};
    int problem = started == 0 ? 0 : errno;
    if (problem == EINPROGRESS) {
        socklen_t size = sizeof(problem);
        problem = ETIMEDOUT;
        if (poll(&item, 1, static_cast<int>(timeout.count())) > 0)
            getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &problem, &size);
    }
    if (problem != 0) {
        close(descriptor);
        return -1;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    fcntl(descriptor, F_SETFL, 0);
    return descriptor;
}

http_response call(const endpoint& server, const http_request& request,
                   milliseconds timeout) {
    const instant until = steady::now() + timeout;
    const int descriptor = connect_to(server, timeout);
    if (descriptor < 0)
        return {};
    field_list fields = request.fields;
    if (!find_field(fields, "Host"))
        fields.emplace_back("Host", to_string(server));
    if (!request.body.empty() || request.method != "GET")
        fields.emplace_back("Content-Length",
                            std::to_string(request.body.size()));
    const std::string start =
        request.method + " " + request.target + " HTTP/1.1";
    std::string input;
    http_response response;
    bool is_open = send_all(descriptor,
                            encode_head(start, fields) + "\r\n" + request.body);
    while (is_open && steady::now() < until) {
        const auto left =
            std::chrono::ceil<milliseconds>(until - steady::now());
        if (!is_readable(descriptor, static_cast<int>(left.count())))
            continue;
        is_open = read_some(descriptor, input);
        const auto head = parse_head(input);
        if (!head)
            continue;
        const auto body = parse_body(*head, input);
        if (!body)
            continue;
        response.status =
            std::atoi(head->start.substr(head->start.find(' ') + 1).c_str());
        response.fields = head->fields;
        response.body = body->text;
        break;
    }
    close(descriptor);
    return response;
}

} // namespace ospreystage::review
