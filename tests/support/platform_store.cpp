#include "platform_store.hpp"

#include "free_ports.hpp"

#include <absl/strings/escaping.h>

#include <stdexcept>
#include <utility>

namespace ospreystage::testing {

namespace {

using nlohmann::json;

json encode(const std::string& key, const std::string& value,
            std::int64_t revision) {
    return {{"key", key},
            {"value", absl::Base64Escape(value)},
            {"revision", revision}};
}

std::string decode(const std::string& text) {
    std::string out;
    if (!absl::Base64Unescape(text, &out))
        throw std::runtime_error("value is not valid base64");
    return out;
}

std::int64_t number(const api_request& request, const char* name) {
    const std::string text = query_value(request, name);
    return text.empty() ? 0 : std::stoll(text);
}

/// Decodes `%XX` in a query.
std::string unescape(const std::string& text) {
    std::string out;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%') {
            out.push_back(text[index]);
            continue;
        }
        out.push_back(static_cast<char>(
            std::stoi(text.substr(index + 1, 2), nullptr, 16)));
        index += 2;
    }
    return out;
}

} // namespace

platform_store::platform_store()
    : local_{"127.0.0.1", support::free_ports(1).front()}, server_(core_, 1),
      running_(core_) {
    running_.ask([this] {
        const auto add = [this](const char* method, const char* pattern,
                                answer (platform_store::*handle)(
                                    const api_request&)) {
            server_.route_pattern(method, pattern,
                                  [this, handle](exchange_id exchange,
                                                 const api_request& request) {
                                      on_call(exchange, request,
                                              [this, handle](const auto& in) {
                                                  return (this->*handle)(in);
                                              });
                                  });
        };
        add("GET", "/v1/kv-range", &platform_store::range);
        add("POST", "/v1/kv-txn", &platform_store::transact);
        add("POST", "/v1/kv-lease", &platform_store::grant);
        add("POST", "/v1/kv-keep/(\\d+)", &platform_store::renew_lease);
        add("DELETE", "/v1/kv-lease-end/(\\d+)", &platform_store::end_lease);
        server_.route("GET", "/v1/kv-watch",
                      [this](exchange_id exchange, const api_request& request) {
                          on_call(exchange, request,
                                  [this, exchange](const auto& in) -> answer {
                                      watch(exchange, in);
                                      return std::nullopt;
                                  });
                      });
        core_.every("store", milliseconds(5), [this] { answer_watches(); });
        error failure;
        const auto listening = value_or_error(
            [this]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(server_.web().listen(local_));
                return true;
            },
            failure);
        return listening.has_value();
    });
}

template <typename Body>
void platform_store::change(Body body) {
    running_.ask([&] {
        body();
        answer_watches();
        return true;
    });
}

// ---- Contents --------------------------------------------------------------

void platform_store::put(const std::string& key, const std::string& value) {
    change([&] { set(key, value, 0); });
}

void platform_store::erase(const std::string& key) {
    change([&] { remove(key); });
}

std::optional<std::string> platform_store::value(const std::string& key) {
    return running_.ask([&]() -> std::optional<std::string> {
        const auto found = items_.find(key);
        if (found == items_.end())
            return std::nullopt;
        return found->second.value;
    });
}

void platform_store::end_leases() {
    change([&] {
        leases_.clear();
        std::vector<std::string> bound_keys;
        for (const auto& [key, entry] : items_)
            if (entry.lease != 0)
                bound_keys.push_back(key);
        for (const std::string& key : bound_keys)
            remove(key);
    });
}

void platform_store::set(const std::string& key, std::string value,
                         std::uint64_t lease) {
    ++revision_;
    history_.push_back({key, revision_, value});
    items_[key] = {std::move(value), revision_, lease};
}

void platform_store::remove(const std::string& key) {
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    history_.push_back({key, revision_, std::nullopt});
}

// ---- Drills ----------------------------------------------------------------

void platform_store::keep_copy() {
    change([&] {
        copy_ = {items_, history_, revision_, leases_, next_lease_};
    });
}

void platform_store::return_to_copy(int others) {
    change([&] {
        items_ = copy_.items;
        history_ = copy_.history;
        revision_ = copy_.revision;
        leases_ = copy_.leases;
        next_lease_ = copy_.next_lease;
        for (int count = 0; count < others; ++count)
            leases_[next_lease_++] = true;
        ++era_;
    });
}

void platform_store::respond(exchange_id exchange, http_response response) {
    response.fields.push_back({"Store-Era", std::to_string(era_)});
    server_.web().respond(exchange, response);
}

// ---- Faults ----------------------------------------------------------------

void platform_store::set_status(std::uint16_t status) {
    change([&] { status_ = status; });
}

void platform_store::fail_next(const std::string& path, int count,
                               std::uint16_t status) {
    change([&] { failures_.push_back({path, count, status}); });
}

void platform_store::set_malformed(bool is_malformed) {
    change([&] { is_malformed_ = is_malformed; });
}

void platform_store::compact() {
    change([&] {
        // Advance the revision, so that all pending watches are outdated.
        ++revision_;
        compacted_ = revision_;
        history_.clear();
    });
}

void platform_store::set_page_size(std::size_t count) {
    change([&] { page_size_ = count; });
}

int platform_store::calls(const std::string& path) {
    return running_.ask([&] {
        int count = 0;
        for (const auto& [called, times] : calls_)
            if (called.starts_with(path))
                count += times;
        return count;
    });
}

std::optional<std::uint16_t>
platform_store::planned_status(const std::string& path) {
    if (status_ != 0)
        return status_;
    for (planned_failure& each : failures_)
        if (each.count > 0 && path.starts_with(each.path)) {
            --each.count;
            return each.status;
        }
    return std::nullopt;
}

// ---- Calls -----------------------------------------------------------------

void platform_store::on_call(
    exchange_id exchange, const api_request& request,
    const std::function<answer(const api_request&)>& handle) {
    ++calls_[request.path];
    const auto status = planned_status(request.path);
    if (status || is_malformed_) {
        http_response response = text_response("application/json", "{\"garb");
        response.status = status.value_or(200);
        respond(exchange, response);
        return;
    }
    if (const answer response = handle(request))
        respond(exchange, *response);
}

platform_store::answer platform_store::range(const api_request& request) {
    const std::string prefix = unescape(query_value(request, "path_prefix"));
    const std::string after = unescape(query_value(request, "after"));
    json page = json::array();
    bool has_more = false;
    for (const auto& [key, entry] : items_) {
        if (!key.starts_with(prefix) || key <= after)
            continue;
        has_more = page.size() == page_size_;
        if (has_more)
            break;
        page.push_back(encode(key, entry.value, entry.revision));
    }
    return json_response(200, {{"items", page},
                               {"has_more", has_more},
                               {"store_revision", revision_}});
}

platform_store::answer platform_store::transact(const api_request& request) {
    const json body = json::parse(request.message.body);
    for (const json& entry : body["set_keys"]) {
        const auto lease = entry["lease"].get<std::uint64_t>();
        if (lease != 0 && !leases_.contains(lease))
            return json_response(404, json::object());
    }
    for (const json& entry : body["set_keys"])
        set(entry["key"].get<std::string>(),
            decode(entry["value"].get<std::string>()),
            entry["lease"].get<std::uint64_t>());
    for (const json& key : body["remove"])
        remove(key.get<std::string>());
    return json_response(200, {{"revision", revision_}});
}

platform_store::answer platform_store::grant(const api_request& request) {
    const json body = json::parse(request.message.body);
    leases_[next_lease_] = true;
    return json_response(
        200, {{"lease", next_lease_++}, {"ttl_ms", body["ttl_ms"]}});
}

platform_store::answer platform_store::renew_lease(const api_request& request) {
    const bool is_known = leases_.contains(std::stoull(request.captures[0]));
    return json_response(is_known ? 200 : 404, json::object());
}

platform_store::answer platform_store::end_lease(const api_request& request) {
    const std::uint64_t lease = std::stoull(request.captures[0]);
    if (leases_.erase(lease) == 0)
        return json_response(404, json::object());
    std::vector<std::string> bound_keys;
    for (const auto& [key, entry] : items_)
        if (entry.lease == lease)
            bound_keys.push_back(key);
    for (const std::string& key : bound_keys)
        remove(key);
    return json_response(200, json::object());
}

void platform_store::watch(exchange_id exchange, const api_request& request) {
    watches_.push_back(
        {exchange, unescape(query_value(request, "path_prefix")),
         number(request, "after"),
         steady::now() + milliseconds(number(request, "wait_ms"))});
    answer_watches();
}

json platform_store::events(const pending_watch& watch) const {
    json out = json::array();
    for (const event& each : history_) {
        if (each.revision <= watch.after || !each.key.starts_with(watch.prefix))
            continue;
        if (each.value)
            out.push_back(encode(each.key, *each.value, each.revision));
        else
            out.push_back({{"key", each.key},
                           {"revision", each.revision},
                           {"deleted", true}});
    }
    return out;
}

void platform_store::answer_watches() {
    std::vector<pending_watch> pending;
    for (const pending_watch& each : std::exchange(watches_, {})) {
        if (each.after < compacted_ || each.after > revision_) {
            respond(each.exchange, json_response(410, json::object()));
            continue;
        }
        const json found = events(each);
        if (found.empty() && steady::now() < each.until)
            pending.push_back(each);
        else
            respond(each.exchange,
                    json_response(200, {{"events", found},
                                        {"store_revision", revision_}}));
    }
    for (pending_watch& each : pending)
        watches_.push_back(std::move(each));
}

} // namespace ospreystage::testing
