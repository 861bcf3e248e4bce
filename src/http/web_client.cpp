#include <ospreystage/core/log.hpp>
#include <ospreystage/core/resource_limits.hpp>
#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/http/web_client.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "web_client";
/// Used if the server announces no idle timeout: it may then close an idle
/// connection early.
constexpr milliseconds default_max_idle{1000};
/// Fraction of the announced idle timeout for which a connection is reused, so
/// that a request does not race with the close by the server.
constexpr double usable_idle_fraction = 0.5;
constexpr milliseconds sweep_interval{250};
/// Lower statuses are informational: the response itself follows.
constexpr std::uint16_t first_final_status = 200;
/// Informational responses and responses to other requests that may come before
/// the response to a call.
constexpr int max_skipped_responses = 32;
/// Requests whose values a connection remembers, so that it does not carry one
/// of them again: an extra response to the first try would pass for the answer
/// to the second one.
constexpr std::size_t max_carried_values = 64;
/// Total size of the bodies of responses to other requests during a call.
constexpr std::size_t max_discarded_bytes = 1024 * 1024;

/// Longest idle time of a server that counts, so that its end can be
/// represented.
constexpr seconds max_idle{24 * 3600};

/// Returns how long the connection may be idle and still be reused, from
/// `Keep-Alive: timeout=N` (seconds).
milliseconds keep_alive_timeout(const http_response& response) {
    const std::string* value = find_field(response.fields, "Keep-Alive");
    if (value == nullptr)
        return default_max_idle;
    const std::size_t position = value->find("timeout=");
    if (position == std::string::npos)
        return default_max_idle;
    const std::size_t first = position + std::string_view("timeout=").size();
    const std::size_t last = value->find_first_not_of("0123456789", first);
    std::int64_t timeout_s = 0;
    if (!absl::SimpleAtoi(value->substr(first, last - first), &timeout_s))
        return default_max_idle;
    const seconds timeout(std::min<std::int64_t>(timeout_s, max_idle.count()));
    return std::chrono::duration_cast<milliseconds>(timeout *
                                                    usable_idle_fraction);
}

/// Returns the hash of the values that the response to a call is to echo, if
/// there are any.
std::optional<std::uint64_t>
echoed_hash(const std::vector<std::string>& values) {
    const std::string joined = absl::StrJoin(values, ",");
    if (joined.empty())
        return std::nullopt;
    return stable_hash(joined);
}

std::vector<std::string> field_values(const http_fields& fields,
                                      std::string_view name) {
    std::vector<std::string> values;
    for (const http_field& field : fields)
        if (is_same_field(field.name, name))
            values.push_back(field.value);
    return values;
}

} // namespace

const char* to_string(call_end end) noexcept {
    switch (end) {
    case call_end::complete:
        return "complete";
    case call_end::not_connected:
        return "not_connected";
    case call_end::withheld:
        return "withheld";
    case call_end::no_answer:
        return "no_answer";
    case call_end::truncated:
        return "cut";
    case call_end::reset:
        return "reset";
    case call_end::too_large:
        return "too_large";
    case call_end::malformed:
        return "malformed";
    case call_end::timeout:
        return "timeout";
    }
    return "unnamed";
}

web_client::web_client(kernel& core)
    : core_(core), budget_(memory_budget_of(core)) {
    const auto* limits =
        core.find_if<resource_limits>(resource_limits::service_name);
    if (limits != nullptr)
        max_connections_ = limits->max_client_connections();
    core_.every(service_name, sweep_interval, [this] { sweep(); });
}

web_client::~web_client() = default;

call_id web_client::start(const address& server, const http_request& request,
                          const call_options& options, call_handlers handlers) {
    return start(server, request, options, std::move(handlers), std::nullopt);
}

call_id web_client::start(const address& server, const http_request& request,
                          const call_options& options, call_handlers handlers,
                          std::optional<std::size_t> max_body_bytes) {
    const call_id call{next_call_++};
    auto record = std::make_unique<call_record>();
    record->is_head_request = request.method == "HEAD";
    record->echoed_field = options.echoed_field;
    record->echoed_values = field_values(request.fields, options.echoed_field);
    record->output = request.shared_body
                         ? encode_request_head(request, to_string(server))
                         : encode_request(request, to_string(server));
    record->shared_body = request.shared_body;
    record->handlers = std::move(handlers);
    record->may_send = options.may_send;
    record->keeps_connection = options.keep;
    record->requires_echo = options.requires_echo;
    record->idle_timeout = options.idle_timeout;
    record->max_body_bytes = max_body_bytes;
    const std::uint64_t connection = acquire(server, options.reuse, *record);
    record->connection = connection;
    record->timer = core_.after(service_name, options.timeout, [this, call] {
        const auto found = calls_.find(static_cast<std::uint64_t>(call));
        if (found == calls_.end())
            return;
        found->second->timer.reset();
        const bool is_sent = found->second->is_sent;
        finish(found->second->connection,
               is_sent ? call_end::timeout : call_end::not_connected);
    });
    connection_record& target = *connections_.at(connection);
    target.call = call;
    const bool is_open = target.socket.is_connected();
    if (!is_open)
        record->connect_timer =
            core_.after(service_name, options.connect_timeout, [this, call] {
                const auto found =
                    calls_.find(static_cast<std::uint64_t>(call));
                if (found == calls_.end())
                    return;
                found->second->connect_timer.reset();
                if (!found->second->is_sent)
                    finish(found->second->connection, call_end::not_connected);
            });
    calls_.emplace(static_cast<std::uint64_t>(call), std::move(record));
    if (is_open)
        begin(connection, call);
    return call;
}

call_id web_client::fetch(const address& server, const http_request& request,
                          const call_options& options,
                          std::function<void(call_end, http_response)> done) {
    auto response = std::make_shared<http_response>();
    call_handlers handlers;
    handlers.head = [response,
                     began = options.began](const http_response& head) {
        *response = head;
        if (began)
            began();
    };
    handlers.body = [response](std::string_view data) {
        response->body.append(data);
    };
    handlers.ended = [response, done = std::move(done)](call_end end) {
        done(end, std::move(*response));
    };
    return start(server, request, options, std::move(handlers),
                 options.max_body_bytes);
}

void web_client::cancel(call_id call) {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    if (found == calls_.end())
        return;
    found->second->is_cancelled = true;
    const std::uint64_t connection = found->second->connection;
    // What the server has not received yet is not worth sending any more.
    connections_.at(connection)->socket.abort();
    finish(connection, call_end::truncated);
}

bool web_client::is_sent(call_id call) const {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    return found != calls_.end() && found->second->is_sent;
}

void web_client::set_reading(call_id call, bool enabled) {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    if (found != calls_.end())
        connections_.at(found->second->connection)->socket.set_reading(enabled);
}

std::size_t web_client::connections(const address& server) const {
    const auto found = connection_counts_.find(to_string(server));
    return found == connection_counts_.end() ? 0 : found->second;
}

bool web_client::has_free_connection(const address& server,
                                     std::size_t limit) const {
    return limit == 0 || connections(server) < limit ||
           has_idle_connection(server);
}

bool web_client::can_connect() const {
    return max_connections_ == 0 || connections_.size() < max_connections_ ||
           std::any_of(idle_.begin(), idle_.end(),
                       [](const auto& item) { return !item.second.empty(); });
}

bool web_client::has_idle_connection(const address& server) const {
    const auto available = idle_.find(to_string(server));
    return available != idle_.end() && !available->second.empty();
}

// ---- Connections -----------------------------------------------------------

/// Returns an idle connection to the server if there is one on which no
/// response to another request can be taken for this call's, or else a new
/// connection.
std::uint64_t web_client::acquire(const address& server, bool reuse,
                                  const call_record& call) {
    const std::string key = to_string(server);
    const std::optional<std::uint64_t> value = echoed_hash(call.echoed_values);
    // Without a value to echo, only the first response on a connection is known
    // to be to this request.
    const bool is_named = call.echoed_field.empty() || value;
    if (reuse && is_named) {
        std::vector<std::uint64_t>& idle = idle_[key];
        const instant now = steady::now();
        std::erase_if(idle, [&](std::uint64_t id) {
            const bool is_expired = connections_.at(id)->idle_until <= now;
            if (is_expired)
                drop(id);
            return is_expired;
        });
        const bool needs_echo =
            call.requires_echo && !call.echoed_field.empty();
        const auto is_usable = [&](std::uint64_t id) {
            const connection_record& connection = *connections_.at(id);
            const auto& carried = connection.carried_values;
            return !(needs_echo && connection.has_unnamed_response) &&
                   (!value ||
                    std::ranges::find(carried, *value) == carried.end());
        };
        while (true) {
            const auto usable =
                std::find_if(idle.rbegin(), idle.rend(), is_usable);
            if (usable == idle.rend())
                break;
            const std::uint64_t id = *usable;
            // Unread bytes, or an end, drop the connection: they are not the
            // response to a request that is yet to be sent.
            connections_.at(id)->socket.read_available();
            if (!connections_.contains(id))
                continue;
            std::erase(idle, id);
            return id;
        }
    }
    const bool has_room = make_room();
    const std::uint64_t id = next_connection_++;
    auto record = std::make_unique<connection_record>(core_);
    record->server = server;
    record->socket.charge_output(
        memory_charge(budget_, memory_account::forwarded));
    record->socket.set_handlers(
        {[this, id] { on_connected(id); }, [this, id] { on_readable(id); },
         [this, id](stream_socket::end_kind kind) { on_ended(id, kind); },
         nullptr});
    stream_socket& socket = record->socket;
    connections_.emplace(id, std::move(record));
    ++connection_counts_[key];
    // Without an address, the connection fails before anything is sent.
    socket.connect(has_room ? server : address{});
    return id;
}

/// Drops an idle connection if there are as many as allowed; returns false if
/// none is idle.
bool web_client::make_room() {
    if (max_connections_ == 0 || connections_.size() < max_connections_)
        return true;
    for (auto& [server, ids] : idle_) {
        if (ids.empty())
            continue;
        const std::uint64_t oldest = ids.front();
        ids.erase(ids.begin());
        drop(oldest);
        return true;
    }
    // Of lines below `warn`, the log bounds the number per second.
    log_event(
        log_level::info, "resource_limit_reached",
        {{"bound", "connections to servers"}, {"value", connections_.size()}});
    return false;
}

void web_client::on_connected(std::uint64_t id) {
    const connection_record& record = *connections_.at(id);
    if (!record.call)
        return;
    const call_record& call =
        *calls_.at(static_cast<std::uint64_t>(*record.call));
    if (call.may_send && !call.may_send())
        finish(id, call_end::withheld);
    else
        begin(id, *record.call);
}

void web_client::begin(std::uint64_t connection, call_id call) {
    call_record& record = *calls_.at(static_cast<std::uint64_t>(call));
    if (record.connect_timer) {
        core_.cancel(*record.connect_timer);
        record.connect_timer.reset();
    }
    connection_record& target = *connections_.at(connection);
    start_parser(connection);
    record.is_sent = true;
    record.last_received = steady::now();
    if (const auto value = echoed_hash(record.echoed_values)) {
        target.carried_values.push_back(*value);
        if (target.carried_values.size() > max_carried_values)
            target.carried_values.erase(target.carried_values.begin());
    }
    target.socket.write(std::exchange(record.output, ""));
    if (record.shared_body)
        target.socket.write(std::exchange(record.shared_body, nullptr));
    if (record.idle_timeout)
        check_idle(call);
}

/// Ends the call if nothing was received for its idle timeout; otherwise checks
/// again when that may be the case.
void web_client::check_idle(call_id call) {
    const auto found = calls_.find(static_cast<std::uint64_t>(call));
    if (found == calls_.end())
        return;
    call_record& record = *found->second;
    record.idle_timer.reset();
    const auto remaining =
        record.last_received + *record.idle_timeout - steady::now();
    if (remaining <= std::chrono::nanoseconds(0))
        finish(record.connection, call_end::timeout);
    else
        record.idle_timer = core_.after(service_name, remaining,
                                        [this, call] { check_idle(call); });
}

void web_client::start_parser(std::uint64_t id) {
    connection_record& record = *connections_.at(id);
    record.is_discarding = false;
    const call_record& call =
        *calls_.at(static_cast<std::uint64_t>(*record.call));
    record.parser = std::make_unique<response_parser>(
        call.is_head_request,
        [this, id](std::string_view data) { on_body(id, data); });
}

void web_client::on_body(std::uint64_t id, std::string_view data) {
    if (connections_.contains(id))
        deliver_head(id);
    // The head handler may have cancelled the call.
    const auto found = connections_.find(id);
    if (found == connections_.end() || !found->second->call)
        return;
    call_record& call =
        *calls_.at(static_cast<std::uint64_t>(*found->second->call));
    if (found->second->is_discarding) {
        call.discarded_bytes += data.size();
        if (call.discarded_bytes > max_discarded_bytes)
            end_at_bound(id, "discarded bytes", max_discarded_bytes);
        return;
    }
    call.body_bytes += data.size();
    if (call.max_body_bytes && call.body_bytes > *call.max_body_bytes) {
        end_at_bound(id, "body bytes", *call.max_body_bytes);
        return;
    }
    if (call.handlers.body)
        call.handlers.body(data);
}

/// Ends a call whose server has sent more than a bound allows, and resets the
/// connection.
void web_client::end_at_bound(std::uint64_t id, const char* bound,
                              std::size_t value) {
    connection_record& record = *connections_.at(id);
    log_event(log_level::warn, "response_too_large",
              {{"server", to_string(record.server)},
               {"bound", bound},
               {"value", value}});
    record.socket.abort();
    finish(id, call_end::too_large);
}

/// Returns true if the response with this echoed field is to the call's own
/// request.
bool web_client::belongs_to(const connection_record& connection,
                            const call_record& call,
                            const std::vector<std::string>& echoed) {
    if (call.echoed_field.empty())
        return true;
    if (echoed.empty() && !call.requires_echo)
        return !connection.has_named_response && connection.is_synchronized;
    if (echoed.empty())
        // All earlier responses on a connection that is used again had the
        // field: this one is an extra response to one of their requests.
        return !connection.is_reused && connection.is_synchronized;
    return std::ranges::all_of(echoed, [&](const std::string& value) {
        return std::ranges::find(call.echoed_values, value) !=
               call.echoed_values.end();
    });
}

/// Passes the head to its handler, once. Marks a response to another request to
/// be discarded.
void web_client::deliver_head(std::uint64_t id) {
    connection_record& record = *connections_.at(id);
    if (!record.call || record.is_discarding ||
        record.parser->response().status < first_final_status)
        return;
    call_record& call = *calls_.at(static_cast<std::uint64_t>(*record.call));
    const http_response& response = record.parser->response();
    const std::vector<std::string> echoed =
        field_values(response.fields, call.echoed_field);
    if (!belongs_to(record, call, echoed)) {
        record.is_discarding = true;
        record.is_synchronized = false;
        log_event(log_level::warn, "response_of_another_request",
                  {{"server", to_string(record.server)},
                   {"expected", absl::StrJoin(call.echoed_values, ", ")},
                   {"got", absl::StrJoin(echoed, ", ")}});
        return;
    }
    if (call.handlers.head) {
        // Moved out, so that the head is delivered once.
        const auto head = std::move(call.handlers.head);
        call.handlers.head = nullptr;
        head(response);
    }
}

void web_client::on_readable(std::uint64_t id) {
    auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    if (!found->second->call) {
        // Bytes without a request: the connection is out of sync and cannot be
        // reused.
        std::erase(idle_[to_string(found->second->server)], id);
        drop(id);
        return;
    }
    calls_.at(static_cast<std::uint64_t>(*found->second->call))->last_received =
        steady::now();
    while (true) {
        connection_record& record = *found->second;
        const parse_progress progress =
            record.parser->feed(record.socket.input);
        found = connections_.find(id);
        if (found == connections_.end() || !found->second->call)
            return;
        record.socket.input.erase(0, progress.consumed);
        if (!progress.failure.empty()) {
            log_event(log_level::warn, "response_malformed",
                      {{"server", to_string(record.server)},
                       {"error", progress.failure}});
            finish(id, call_end::malformed);
            return;
        }
        if (record.parser->is_head_complete()) {
            deliver_head(id);
            found = connections_.find(id);
            if (found == connections_.end() || !found->second->call)
                return;
        }
        if (!progress.is_complete)
            return;
        const bool is_informational =
            record.parser->response().status < first_final_status;
        if (!record.is_discarding && !is_informational) {
            finish(id, call_end::complete);
            return;
        }
        call_record& call =
            *calls_.at(static_cast<std::uint64_t>(*record.call));
        if (++call.skipped_responses > max_skipped_responses) {
            end_at_bound(id, "skipped responses", max_skipped_responses);
            return;
        }
        start_parser(id);
        if (record.socket.input.empty())
            return;
    }
}

void web_client::on_ended(std::uint64_t id, stream_socket::end_kind kind) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    connection_record& record = *found->second;
    if (!record.call) {
        std::erase(idle_[to_string(record.server)], id);
        drop(id);
        return;
    }
    const call_record& call =
        *calls_.at(static_cast<std::uint64_t>(*record.call));
    if (!call.is_sent) {
        finish(id, call_end::not_connected);
        return;
    }
    const bool has_head =
        !record.is_discarding && record.parser->is_head_complete();
    if (!has_head)
        finish(id, call_end::no_answer);
    else if (kind == stream_socket::end_kind::reset)
        finish(id, call_end::reset);
    else
        finish(id, record.parser->finish() ? call_end::complete
                                           : call_end::truncated);
}

void web_client::finish(std::uint64_t id, call_end end) {
    connection_record& record = *connections_.at(id);
    const call_id call = *record.call;
    auto node = calls_.extract(static_cast<std::uint64_t>(call));
    std::unique_ptr<call_record> ended = std::move(node.mapped());
    if (ended->timer)
        core_.cancel(*ended->timer);
    if (ended->connect_timer)
        core_.cancel(*ended->connect_timer);
    if (ended->idle_timer)
        core_.cancel(*ended->idle_timer);
    record.call.reset();
    const bool is_complete = end == call_end::complete;
    if (is_complete && !ended->echoed_field.empty()) {
        const bool is_named = find_field(record.parser->response().fields,
                                         ended->echoed_field) != nullptr;
        record.has_named_response |= is_named;
        record.has_unnamed_response |= !is_named;
    }
    const bool may_carry_more =
        is_complete && !(ended->requires_echo && record.has_unnamed_response);
    // Pending output means that the server responded before it had read the
    // request; unread input after the response belongs to no request.
    const bool is_reusable =
        may_carry_more && ended->keeps_connection && record.socket.is_open() &&
        record.socket.input.empty() && record.socket.pending_bytes() == 0 &&
        record.is_synchronized && record.parser->response().keep_alive;
    if (is_reusable) {
        record.max_idle = keep_alive_timeout(record.parser->response());
        release(id);
    } else {
        drop(id);
    }
    call_record& ended_call = *ended;
    defer_destruction(nullptr, std::move(ended));
    if (!ended_call.is_cancelled && ended_call.handlers.ended)
        ended_call.handlers.ended(end);
}

void web_client::release(std::uint64_t id) {
    connection_record& record = *connections_.at(id);
    if (record.max_idle <= milliseconds(0)) {
        drop(id);
        return;
    }
    record.is_reused = true;
    record.idle_until = steady::now() + record.max_idle;
    record.socket.set_reading(true);
    idle_[to_string(record.server)].push_back(id);
}

void web_client::drop(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    std::unique_ptr<connection_record> record = std::move(found->second);
    connections_.erase(found);
    const auto count = connection_counts_.find(to_string(record->server));
    if (count != connection_counts_.end() && --count->second == 0)
        connection_counts_.erase(count);
    record->socket.close();
    defer_destruction(std::move(record), nullptr);
}

/// Keeps a connection or a call, which handlers on the stack may still use,
/// until they have returned.
void web_client::defer_destruction(
    std::unique_ptr<connection_record> connection,
    std::unique_ptr<call_record> call) {
    if (dropped_connections_.empty() && ended_calls_.empty())
        core_.after(service_name, std::chrono::nanoseconds(0), [this] {
            dropped_connections_.clear();
            ended_calls_.clear();
        });
    if (connection)
        dropped_connections_.push_back(std::move(connection));
    if (call)
        ended_calls_.push_back(std::move(call));
}

void web_client::sweep() {
    const instant now = steady::now();
    std::vector<std::uint64_t> expired;
    for (auto& [server, ids] : idle_)
        std::erase_if(ids, [&](std::uint64_t id) {
            const bool is_expired = connections_.at(id)->idle_until <= now;
            if (is_expired)
                expired.push_back(id);
            return is_expired;
        });
    for (const std::uint64_t id : expired)
        drop(id);
    absl::erase_if(idle_,
                   [](const auto& entry) { return entry.second.empty(); });
}

} // namespace ospreystage
