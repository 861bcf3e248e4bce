#include <ospreystage/core/log.hpp>
#include <ospreystage/core/resource_limits.hpp>
#include <ospreystage/http/web_server.hpp>
#include <ospreystage/network/socket_address.hpp>

#include <fmt/format.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "web_server";
/// The system's own limit may be lower. Callers wait here behind a crowd.
constexpr int listen_backlog = 4096;
/// Pending output of a caller beyond which its response is paused.
constexpr std::size_t max_unread_bytes = 64 * 1024;
/// Interval between two checks for connections past their deadline.
constexpr milliseconds sweep_interval{250};
/// Time for a caller that is still sending to read the refusal.
constexpr milliseconds refusal_linger{1000};
/// A new connection is kept for this long while draining, since its first
/// request may be on the way.
constexpr milliseconds first_request_time{500};
/// Memory of a connection without its buffers: its record, its handlers and
/// its entry in the kernel.
constexpr std::size_t connection_bytes = 2048;
/// Capacity of an input buffer that is kept beyond twice its content.
constexpr std::size_t max_spare_capacity = 16 * 1024;
/// While memory is short, a connection that holds more than a small request is
/// closed after this time without progress. A third of the usual header
/// timeout of 3 s.
constexpr milliseconds stalled_time{1000};
/// At the limit of connections, new ones take the place of connections that
/// have waited this long for a request, and of unfinished requests that have
/// made no progress for this long or have not been complete within that time.
constexpr milliseconds replaceable_idle_time{1000};
constexpr milliseconds replaceable_stalled_time{500};
constexpr milliseconds replaceable_unfinished_time{1000};
/// Interval at which connections give way, and the part of all that does so at
/// a time.
constexpr milliseconds make_room_interval{50};
constexpr std::size_t replaced_share_divisor = 4;
/// Retry time of requests that have given way.
constexpr milliseconds crowd_retry_after{1000};
constexpr const char* head_method = "HEAD";
constexpr std::uint16_t status_timeout = 408;
constexpr std::uint16_t status_unavailable = 503;
/// Retry time of requests that are refused for lack of memory.
constexpr milliseconds memory_retry_after{1000};
/// Shortest time between two log lines about bounds that were reached.
constexpr milliseconds bound_log_interval{1000};
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

web_server::web_server(kernel& core, callbacks handlers)
    : core_(core), budget_(memory_budget_of(core)),
      handlers_(std::move(handlers)) {
    const auto* limits =
        core.find_if<resource_limits>(resource_limits::service_name);
    if (limits != nullptr)
        max_connections_ = limits->max_internal_connections();
}

web_server::~web_server() {
    if (listener_ >= 0) {
        core_.close(listener_);
    }
}

leaf::result<void> web_server::listen(const address& local) {
    BOOST_LEAF_ASSIGN(listener_,
                      open_listener(local, listen_backlog, "http.listen"));
    // Accepted connections inherit this.
    const int on = 1;
    setsockopt(listener_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    core_.watch(listener_, EPOLLIN, [this](std::uint32_t) { accept_all(); });
    core_.every(service_name, sweep_interval, [this] { sweep(); });
    return {};
}

std::size_t web_server::connections() const noexcept {
    return connections_.size();
}

std::size_t web_server::exchanges() const noexcept {
    return exchanges_.size();
}

nlohmann::json web_server::dump() const {
    return {{"connections", connections_.size()},
            {"exchanges", exchanges_.size()},
            {"refused", refused_},
            {"closed_for_memory", closed_for_memory_},
            {"max_connections", max_connections_},
            {"draining", is_draining_}};
}

void web_server::set_limits(const server_limits& limits) {
    limits_ = limits;
    for (const auto& [id, record] : connections_) {
        if (record->is_busy || record->is_refused)
            continue;
        const milliseconds timeout =
            record->parser ? limits_.header_timeout : limits_.idle_timeout;
        record->deadline =
            std::max(record->deadline, record->waiting_since + timeout);
    }
}

/// Sets the time until which a connection waits for what comes next.
void web_server::await_input(connection_record& record, milliseconds timeout) {
    record.waiting_since = steady::now();
    record.deadline = record.waiting_since + timeout;
}

void web_server::close_after_responses() {
    is_draining_ = true;
}

void web_server::stop_listening() {
    is_draining_ = true;
    if (listener_ < 0)
        return;
    accept_all();
    core_.close(listener_);
    listener_ = -1;
}

void web_server::drain() {
    stop_listening();
    std::vector<std::uint64_t> open;
    open.reserve(connections_.size());
    for (const auto& [id, record] : connections_)
        open.push_back(id);
    for (const std::uint64_t id : open)
        drain(id);
}

/// Closes a connection unless a request is in progress, has arrived in part, or
/// is still to be expected.
void web_server::drain(std::uint64_t id) {
    const auto is_idle = [&] {
        const auto found = connections_.find(id);
        return found != connections_.end() && !found->second->is_busy &&
               !found->second->is_refused && !found->second->parser &&
               found->second->socket.input.empty() &&
               found->second->socket.pending_bytes() == 0;
    };
    if (!is_idle())
        return;
    connections_.at(id)->socket.read_available();
    if (!is_idle())
        return;
    const connection_record& record = *connections_.at(id);
    if (record.is_used ||
        steady::now() - record.accepted_at >= first_request_time)
        drop(id);
}

void web_server::refuse_unfinished(const std::string& reason,
                                   milliseconds retry_after) {
    std::vector<std::uint64_t> unfinished;
    for (const auto& [id, record] : connections_)
        if (record->parser && !record->is_busy && !record->is_refused)
            unfinished.push_back(id);
    for (const std::uint64_t id : unfinished)
        refuse(id, status_unavailable, reason, retry_after);
}

// ---- Connections -----------------------------------------------------------

void web_server::pause_accepting() {
    if (std::exchange(is_accepting_paused_, true))
        return;
    core_.rewatch(listener_, 0);
}

void web_server::resume_accepting() {
    if (listener_ < 0 || !is_accepting_paused_)
        return;
    is_accepting_paused_ = false;
    core_.rewatch(listener_, EPOLLIN);
}

void web_server::accept_all() {
    while (true) {
        if (max_connections_ > 0 && connections_.size() >= max_connections_) {
            log_bound("connections", connections_.size());
            pause_accepting();
            schedule_room();
            return;
        }
        const int descriptor =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EINTR || errno == ECONNABORTED)
                continue;
            if (errno != EAGAIN && errno != EWOULDBLOCK) {
                log_event(log_level::warn, "accept_failed",
                          {{"error", std::strerror(errno)}});
                // Without a pause, the listener is reported as ready at once.
                pause_accepting();
            }
            return;
        }
        const std::uint64_t id = next_connection_++;
        auto record = std::make_unique<connection_record>(core_);
        record->accepted_at = steady::now();
        record->progressed_at = record->accepted_at;
        record->input_charge =
            memory_charge(budget_, memory_account::heads, connection_bytes);
        record->socket.charge_output(
            memory_charge(budget_, memory_account::answers));
        await_input(*record, limits_.idle_timeout);
        record->socket.set_handlers(
            {nullptr, [this, id] { on_readable(id); },
             [this, id](stream_socket::end_kind) { on_ended(id); },
             [this, id] { on_drained(id); }});
        stream_socket& socket = record->socket;
        connections_.emplace(id, std::move(record));
        socket.adopt(descriptor);
    }
}

void web_server::on_readable(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    connection_record& record = *found->second;
    if (record.is_refused) {
        record.socket.input.clear();
        return;
    }
    record.progressed_at = steady::now();
    if (!record.is_busy) {
        parse(id);
        return;
    }
    // Pipelined requests wait; reading stops when they exceed the limit.
    if (record.socket.input.size() > limits_.max_header_bytes) {
        record.socket.set_reading(false);
        record.socket.input.shrink_to_fit();
    }
    update_charge(record);
}

/// Charges the input of a connection.
void web_server::update_charge(connection_record& record) {
    if (budget_ == nullptr)
        return;
    std::string& input = record.socket.input;
    if (input.capacity() > 2 * input.size() + max_spare_capacity)
        input.shrink_to_fit();
    const bool has_head = record.parser && record.parser->is_head_complete();
    record.input_charge.set(has_head ? memory_account::bodies
                                     : memory_account::heads,
                            connection_bytes + input.capacity() +
                                (record.parser ? record.parser->memory() : 0));
    if (budget_->is_exhausted())
        schedule_relief();
}

void web_server::parse(std::uint64_t id) {
    connection_record& record = *connections_.at(id);
    std::string& input = record.socket.input;
    if (input.empty())
        return;
    record.is_used = true;
    if (!record.parser) {
        record.parser = std::make_unique<request_parser>(
            limits_.max_header_bytes, limits_.max_body_bytes);
        await_input(record, limits_.header_timeout);
    }
    const parse_progress progress = record.parser->feed(input);
    input.erase(0, progress.consumed);
    if (!progress.failure.empty()) {
        refuse(id, progress.failure_status, progress.failure,
               memory_retry_after);
        return;
    }
    update_charge(record);
    if (!record.input_charge.admit()) {
        close_for_memory(id, status_unavailable);
        return;
    }
    if (!progress.is_complete) {
        if (record.parser->is_head_complete() && !record.is_expect_checked) {
            record.is_expect_checked = true;
            const std::string* expectation =
                find_field(record.parser->request().fields, "Expect");
            if (expectation != nullptr)
                record.socket.write(continue_response);
        }
        return;
    }
    http_request request = std::move(record.parser->request());
    if (budget_ != nullptr) {
        request.charge = std::make_shared<memory_charge>(
            budget_, memory_account::requests, record.parser->memory());
        record.request_charge = request.charge;
    }
    record.parser.reset();
    update_charge(record);
    record.is_expect_checked = false;
    record.is_busy = true;
    record.is_head_request = request.method == head_method;
    record.framing = request.accepts_chunks ? http_framing::chunked
                                            : http_framing::connection;
    record.keep_alive = request.keep_alive && !is_draining_;
    record.exchange = exchange_id{next_exchange_++};
    exchanges_.emplace(static_cast<std::uint64_t>(record.exchange), id);
    handlers_.requested(record.exchange, std::move(request));
}

void web_server::refuse(std::uint64_t id, std::uint16_t status,
                        const std::string& reason, milliseconds retry_after) {
    ++refused_;
    log_event(log_level::info, "request_malformed",
              {{"status", status}, {"error", reason}});
    connection_record& record = *connections_.at(id);
    http_response response;
    if (handlers_.describe_refusal) {
        response = handlers_.describe_refusal(status, reason,
                                              record.parser->request().target);
    } else {
        response.fields.push_back({"Content-Type", "text/plain"});
        response.body = reason + "\n";
    }
    response.status = status;
    if (status == status_unavailable)
        response.fields.push_back(
            {"Retry-After",
             fmt::format("{:.3f}",
                         std::chrono::duration<double>(retry_after).count())});
    record.socket.write(record.parser->request().method == head_method
                            ? encode_head_response(response, false)
                            : encode_response(response, false));
    // The connection is closed later: closing it with unread input sends a
    // reset, which may discard the response before the caller has read it.
    record.socket.shutdown_output();
    std::string().swap(record.socket.input);
    record.parser.reset();
    update_charge(record);
    record.is_refused = true;
    await_input(record, refusal_linger);
}

void web_server::on_ended(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    const bool was_busy = found->second->is_busy;
    const exchange_id exchange = found->second->exchange;
    drop(id);
    if (was_busy && handlers_.abandoned)
        handlers_.abandoned(exchange);
}

void web_server::on_drained(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second->awaits_drain)
        return;
    found->second->awaits_drain = false;
    if (found->second->is_busy && handlers_.drained)
        handlers_.drained(found->second->exchange);
}

void web_server::drop(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    std::unique_ptr<connection_record> record = std::move(found->second);
    connections_.erase(found);
    exchanges_.erase(static_cast<std::uint64_t>(record->exchange));
    record->socket.close();
    resume_accepting();
    if (dropped_.empty())
        core_.after(service_name, std::chrono::nanoseconds(0),
                    [this] { dropped_.clear(); });
    dropped_.push_back(std::move(record));
}

void web_server::sweep() {
    const instant now = steady::now();
    std::vector<std::uint64_t> expired;
    for (const auto& [id, record] : connections_)
        if (!record->is_busy && record->deadline <= now)
            expired.push_back(id);
    for (const std::uint64_t id : expired)
        expire(id, now);
    end_slow_connections(now);
    if (is_accepting_paused_) {
        make_room(now);
        resume_accepting();
    }
}

// ---- Shortage --------------------------------------------------------------

std::size_t web_server::connection_record::memory() const {
    const auto request = request_charge.lock();
    return input_charge.bytes() + socket.output_memory() +
           (request ? request->bytes() : 0);
}

/// While memory is short, ends connections that hold more than a small request
/// takes and neither send nor read.
void web_server::end_slow_connections(instant now) {
    if (budget_ == nullptr)
        return;
    std::vector<std::uint64_t> slow;
    for (const auto& [id, record] : connections_) {
        const std::uint64_t sent = record->socket.sent_bytes();
        if (std::exchange(record->sent_bytes, sent) != sent)
            record->progressed_at = now;
        // Without output, a request in progress waits for its server.
        const bool awaits_peer =
            !record->is_busy || record->socket.pending_bytes() > 0;
        if (awaits_peer && !record->is_refused &&
            record->memory() > memory_budget::small_bytes &&
            now - record->progressed_at >= stalled_time)
            slow.push_back(id);
    }
    for (const std::uint64_t id : slow)
        if (budget_->is_short())
            close_for_memory(id, status_timeout);
    if (budget_->is_exhausted())
        relieve();
}

void web_server::schedule_relief() {
    if (std::exchange(is_relief_scheduled_, true))
        return;
    // Deferred, since the handlers of a connection may be on the stack.
    core_.after(service_name, std::chrono::nanoseconds(0), [this] {
        is_relief_scheduled_ = false;
        relieve();
    });
}

/// Closes the connections that hold most and have progressed least until the
/// reserve for small requests is no longer used up.
void web_server::relieve() {
    if (!budget_->is_exhausted())
        return;
    const instant now = steady::now();
    std::vector<std::pair<double, std::uint64_t>> candidates;
    for (const auto& [id, record] : connections_) {
        // Closing these would release next to nothing.
        if (record->memory() <= connection_bytes + max_spare_capacity / 2)
            continue;
        const std::chrono::duration<double> age =
            now - record->progressed_at + milliseconds(1);
        candidates.emplace_back(
            static_cast<double>(record->memory()) * age.count(), id);
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    for (const auto& [weight, id] : candidates) {
        if (!budget_->is_exhausted())
            return;
        close_for_memory(id, status_unavailable);
    }
}

void web_server::schedule_room() {
    if (std::exchange(is_room_scheduled_, true))
        return;
    const auto delay = std::max<std::chrono::nanoseconds>(
        room_made_at_ + make_room_interval - steady::now(),
        std::chrono::nanoseconds(0));
    core_.after(service_name, delay, [this] {
        is_room_scheduled_ = false;
        make_room(steady::now());
        resume_accepting();
    });
}

/// Returns true if a connection that waits for its caller should give way to a
/// new one.
bool web_server::may_give_way(const connection_record& record, instant now) {
    if (record.is_busy || record.socket.pending_bytes() > 0)
        return false;
    const auto waited = now - record.waiting_since;
    if (!record.parser && !record.is_refused)
        return waited >= replaceable_idle_time;
    const auto stalled =
        now - std::max(record.waiting_since, record.progressed_at);
    return stalled >= replaceable_stalled_time ||
           waited >= replaceable_unfinished_time;
}

/// Closes connections that wait for their callers in favour of new ones, those
/// that have waited longest first.
void web_server::make_room(instant now) {
    room_made_at_ = now;
    std::vector<std::pair<instant, std::uint64_t>> waiting;
    for (const auto& [id, record] : connections_)
        if (may_give_way(*record, now))
            waiting.emplace_back(record->waiting_since, id);
    std::sort(waiting.begin(), waiting.end());
    const std::size_t most = connections_.size() / replaced_share_divisor + 1;
    waiting.resize(std::min(waiting.size(), most));
    for (const auto& [since, id] : waiting)
        give_way(id);
}

/// Closes a connection that waits for its caller, unless what it waits for lies
/// unread in the socket. An unfinished request is refused first.
void web_server::give_way(std::uint64_t id) {
    connections_.at(id)->socket.read_available();
    const auto found = connections_.find(id);
    if (found == connections_.end() ||
        !may_give_way(*found->second, steady::now()))
        return;
    if (found->second->parser)
        refuse(id, status_unavailable, "too many connections",
               crowd_retry_after);
    drop(id);
}

/// Refuses a request that has not been passed on, with `status`; closes the
/// connection of any other.
void web_server::close_for_memory(std::uint64_t id, std::uint16_t status) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    connection_record& record = *found->second;
    ++closed_for_memory_;
    log_bound("memory", record.memory());
    if (!record.is_busy && !record.is_refused && record.parser) {
        refuse(id, status, "memory limit reached", memory_retry_after);
        return;
    }
    record.socket.abort();
    on_ended(id);
}

void web_server::log_bound(const char* bound, std::size_t value) {
    const instant now = steady::now();
    if (now - bound_logged_at_ < bound_log_interval) {
        ++unlogged_bounds_;
        return;
    }
    bound_logged_at_ = now;
    log_event(log_level::warn, "resource_limit_reached",
              {{"bound", bound},
               {"value", value},
               {"connections", connections_.size()},
               {"memory_bytes", budget_ == nullptr ? 0 : budget_->used()},
               {"not_logged", std::exchange(unlogged_bounds_, 0)}});
}

/// Ends a connection whose deadline has passed, unless the request that it
/// waits for has arrived meanwhile and lies unread in the socket.
void web_server::expire(std::uint64_t id, instant now) {
    const auto find_expired = [&]() -> connection_record* {
        const auto found = connections_.find(id);
        if (found == connections_.end() || found->second->is_busy ||
            found->second->deadline > now)
            return nullptr;
        return found->second.get();
    };
    connection_record* record = find_expired();
    if (record == nullptr)
        return;
    record->socket.read_available();
    record = find_expired();
    if (record == nullptr)
        return;
    if (record->parser)
        refuse(id, status_timeout, "request not received in time",
               memory_retry_after);
    else
        drop(id);
}

// ---- Responses -------------------------------------------------------------

web_server::connection_record* web_server::find(exchange_id exchange) {
    const auto found = exchanges_.find(static_cast<std::uint64_t>(exchange));
    if (found == exchanges_.end())
        return nullptr;
    return connections_.at(found->second).get();
}

void web_server::respond(exchange_id exchange, const http_response& response) {
    connection_record* record = find(exchange);
    if (record == nullptr)
        return;
    const std::uint64_t id =
        exchanges_.at(static_cast<std::uint64_t>(exchange));
    record->keep_alive = record->keep_alive && !is_draining_;
    record->socket.write(
        record->is_head_request
            ? encode_head_response(response, record->keep_alive)
            : encode_response(response, record->keep_alive));
    complete(id);
}

void web_server::begin(exchange_id exchange, const http_response& head,
                       std::optional<std::uint64_t> body_bytes) {
    connection_record* record = find(exchange);
    if (record == nullptr)
        return;
    if (body_bytes)
        record->framing = http_framing::length;
    record->unsent_bytes = body_bytes.value_or(0);
    record->has_body = !record->is_head_request && !is_bodiless(head.status);
    // Without a body, the end of the connection marks nothing.
    record->keep_alive =
        record->keep_alive && !is_draining_ &&
        (!record->has_body || record->framing != http_framing::connection);
    record->socket.write(is_bodiless(head.status)
                             ? encode_response(head, record->keep_alive)
                             : encode_head(head, record->framing,
                                           record->keep_alive,
                                           record->unsent_bytes));
}

bool web_server::write(exchange_id exchange, std::string_view data) {
    connection_record* record = find(exchange);
    if (record == nullptr || data.empty() || !record->has_body)
        return true;
    if (record->framing == http_framing::chunked)
        record->socket.write(encode_chunk(data));
    else
        record->socket.write(data);
    if (record->framing == http_framing::length)
        record->unsent_bytes -=
            std::min<std::uint64_t>(record->unsent_bytes, data.size());
    if (budget_ != nullptr && budget_->is_exhausted())
        schedule_relief();
    record->awaits_drain = record->socket.pending_bytes() > max_unread_bytes;
    return !record->awaits_drain;
}

void web_server::finish(exchange_id exchange) {
    connection_record* record = find(exchange);
    if (record == nullptr)
        return;
    if (record->has_body && record->framing == http_framing::length &&
        record->unsent_bytes > 0) {
        abort(exchange);
        return;
    }
    if (record->has_body && record->framing == http_framing::chunked)
        record->socket.write(last_chunk);
    complete(exchanges_.at(static_cast<std::uint64_t>(exchange)));
}

void web_server::abort(exchange_id exchange) {
    const auto found = exchanges_.find(static_cast<std::uint64_t>(exchange));
    if (found == exchanges_.end())
        return;
    connection_record& record = *connections_.at(found->second);
    // An orderly close would mark the end of such a response.
    if (record.framing == http_framing::connection)
        record.socket.abort();
    drop(found->second);
}

void web_server::complete(std::uint64_t id) {
    connection_record& record = *connections_.at(id);
    exchanges_.erase(static_cast<std::uint64_t>(record.exchange));
    record.is_busy = false;
    record.exchange = exchange_id{};
    if (!record.socket.is_open()) {
        drop(id);
        return;
    }
    if (!record.keep_alive) {
        record.socket.close_after_output();
        return;
    }
    await_input(record, limits_.idle_timeout);
    record.socket.set_reading(true);
    if (record.socket.input.empty())
        return;
    // Deferred, so that the next pipelined request is not handled from within
    // the response to the previous one.
    core_.after(service_name, std::chrono::nanoseconds(0), [this, id] {
        const auto found = connections_.find(id);
        if (found != connections_.end() && !found->second->is_busy)
            parse(id);
    });
}

} // namespace ospreystage
