#include "store.hpp"

#include <algorithm>

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr milliseconds copy_interval{500};
constexpr milliseconds house_interval{50};
constexpr std::size_t max_copies = 60;
constexpr std::size_t max_history = 4096;
constexpr std::size_t page_items = 500;
/// First revision of an empty store.
constexpr std::int64_t first_revision = 1000;
constexpr std::int64_t max_wait_ms = 30'000;

constexpr const char* alphabet =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes) {
    std::string out;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U |
                    (at + index < bytes.size()
                         ? static_cast<unsigned char>(bytes[at + index])
                         : 0U);
        for (std::size_t index = 0; index < 4; ++index)
            out += at + index <= bytes.size()
                       ? alphabet[group >> (18U - 6U * index) & 63U]
                       : '=';
    }
    return out;
}

std::string from_base64(const std::string& text) {
    const std::string letters = alphabet;
    std::string out;
    std::uint32_t group = 0;
    unsigned bits = 0;
    for (const char letter : text) {
        const std::size_t value = letters.find(letter);
        if (value == std::string::npos)
            break;
        group = group << 6U | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        out += static_cast<char>(group >> bits & 255U);
    }
    return out;
}

std::string unescape(const std::string& text) {
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            out += static_cast<char>(
                std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            out += text[at];
        }
    }
    return out;
}

std::int64_t number(const std::string& text) {
    return text.empty() ? 0 : std::stoll(text);
}

bool is_reserved(const std::string& key) {
    return key.starts_with("op/") || key.starts_with("servers/");
}

} // namespace

platform_store::platform_store(const std::string& ip)
    : server_({ip, 0}, [this](const http_request& request, http_reply& reply) {
          answer(request, reply);
      }) {
    {
        const std::lock_guard lock(mutex_);
        state_.revision = first_revision;
    }
    housekeeper_ = std::thread([this] { keep_house(); });
}

platform_store::~platform_store() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    changed_.notify_all();
    housekeeper_.join();
}

// ---- Operator and workers --------------------------------------------------

std::optional<std::int64_t> platform_store::put(const std::string& key,
                                                const std::string& value) {
    const std::lock_guard lock(mutex_);
    if (is_away_)
        return std::nullopt;
    set(key, value, 0);
    return state_.revision;
}

void platform_store::remove(const std::string& key) {
    const std::lock_guard lock(mutex_);
    if (!is_away_)
        erase(key);
}

std::int64_t platform_store::revision() {
    const std::lock_guard lock(mutex_);
    return state_.revision;
}

// ---- Drill -----------------------------------------------------------------

void platform_store::go_away() {
    const std::lock_guard lock(mutex_);
    is_away_ = true;
    changed_.notify_all();
}

milliseconds platform_store::come_back(milliseconds age) {
    const std::lock_guard lock(mutex_);
    const instant now = steady::now();
    const auto found =
        std::find_if(copies_.rbegin(), copies_.rend(),
                     [&](const copy& each) { return now - each.at >= age; });
    const copy& source = found == copies_.rend() ? copies_.front() : *found;
    const milliseconds gone =
        std::chrono::duration_cast<milliseconds>(now - source.at);
    state_ = source.state;
    for (auto& [id, record] : state_.leases)
        record.ends = now + record.lifetime;
    copies_.clear();
    ++era_;
    is_away_ = false;
    changed_.notify_all();
    return gone;
}

// ---- Contents --------------------------------------------------------------

void platform_store::set(const std::string& key, const std::string& value,
                         std::uint64_t lease) {
    item& target = state_.items[key];
    ++state_.revision;
    if (target.create_revision == 0)
        target.create_revision = state_.revision;
    target.value = value;
    target.revision = state_.revision;
    target.lease = lease;
    state_.history.push_back({key, state_.revision, target});
    if (state_.history.size() > max_history)
        state_.history.pop_front();
    changed_.notify_all();
}

void platform_store::erase(const std::string& key) {
    if (state_.items.erase(key) == 0)
        return;
    ++state_.revision;
    state_.history.push_back({key, state_.revision, std::nullopt});
    changed_.notify_all();
}

void platform_store::end_lease(std::uint64_t id) {
    std::vector<std::string> keys;
    for (const auto& [key, value] : state_.items)
        if (value.lease == id)
            keys.push_back(key);
    for (const std::string& key : keys)
        erase(key);
    state_.leases.erase(id);
}

/// Ends leases and keeps copies.
void platform_store::keep_house() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        changed_.wait_for(lock, house_interval);
        const instant now = steady::now();
        if (is_away_)
            continue;
        std::vector<std::uint64_t> ended;
        for (const auto& [id, record] : state_.leases)
            if (record.ends <= now)
                ended.push_back(id);
        for (const std::uint64_t id : ended)
            end_lease(id);
        if (copies_.empty() || now - copies_.back().at >= copy_interval)
            copies_.push_back({now, state_});
        if (copies_.size() > max_copies)
            copies_.pop_front();
    }
}

// ---- Calls -----------------------------------------------------------------

field_list platform_store::fields() const {
    return {{"Store-Era", std::to_string(era_)}};
}

json platform_store::encode(const std::string& key, const item& value) const {
    return {{"key", key},
            {"value", to_base64(value.value)},
            {"revision", value.revision},
            {"create_rev", value.create_revision},
            {"lease", value.lease}};
}

void platform_store::answer(const http_request& request, http_reply& reply) {
    {
        const std::lock_guard lock(mutex_);
        if (is_away_) {
            reply.send(503, fields(), "");
            return;
        }
    }
    const std::string path = request.path();
    if (path == "/v1/kv-key")
        answer_key(request, reply);
    else if (path == "/v1/kv-range")
        answer_range(request, reply);
    else if (path == "/v1/kv-watch")
        answer_watch(request, reply);
    else if (path == "/v1/kv-txn")
        answer_write(request, reply);
    else
        answer_lease(request, reply);
}

void platform_store::answer_key(const http_request& request,
                                http_reply& reply) {
    const std::lock_guard lock(mutex_);
    const std::string key = unescape(request.query("key"));
    const auto found = state_.items.find(key);
    if (found == state_.items.end()) {
        reply.send(404, fields(), "");
        return;
    }
    json body = encode(key, found->second);
    body["store_revision"] = state_.revision;
    reply.send_json(200, fields(), body.dump());
}

void platform_store::answer_range(const http_request& request,
                                  http_reply& reply) {
    const std::lock_guard lock(mutex_);
    const std::string prefix = unescape(request.query("path_prefix"));
    const std::string after = unescape(request.query("after"));
    json body{{"items", json::array()},
              {"has_more", false},
              {"store_revision", state_.revision}};
    for (const auto& [key, value] : state_.items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (body["items"].size() == page_items) {
            body["has_more"] = true;
            break;
        }
        body["items"].push_back(encode(key, value));
    }
    reply.send_json(200, fields(), body.dump());
}

void platform_store::answer_watch(const http_request& request,
                                  http_reply& reply) {
    const std::string prefix = unescape(request.query("path_prefix"));
    const std::int64_t after = number(request.query("after"));
    const instant until =
        steady::now() +
        milliseconds(std::min(max_wait_ms, number(request.query("wait_ms"))));
    std::unique_lock lock(mutex_);
    const int era = era_;
    while (true) {
        if (is_stopping_ || is_away_ || era != era_) {
            reply.cut();
            return;
        }
        const bool is_forgotten = !state_.history.empty() &&
                                  state_.history.size() >= max_history &&
                                  state_.history.front().revision > after + 1;
        if (after > state_.revision || is_forgotten) {
            reply.send(410, fields(), "");
            return;
        }
        json events = json::array();
        for (const event& each : state_.history) {
            if (each.revision <= after || !each.key.starts_with(prefix))
                continue;
            if (each.written)
                events.push_back(encode(each.key, *each.written));
            else
                events.push_back({{"key", each.key},
                                  {"revision", each.revision},
                                  {"deleted", true}});
        }
        if (!events.empty() || steady::now() >= until) {
            const json body{{"events", std::move(events)},
                            {"store_revision", state_.revision}};
            reply.send_json(200, fields(), body.dump());
            return;
        }
        changed_.wait_until(lock, until);
    }
}

void platform_store::answer_write(const http_request& request,
                                  http_reply& reply) {
    const json body = json::parse(request.body);
    const std::lock_guard lock(mutex_);
    json failed = json::array();
    bool holds = true;
    for (const json& row : body.value("precondition", json::array())) {
        const auto found = state_.items.find(row.at("key"));
        const std::int64_t held =
            found == state_.items.end() ? 0 : found->second.revision;
        if (held == row.at("revision").get<std::int64_t>())
            continue;
        holds = false;
        if (found != state_.items.end())
            failed.push_back(encode(found->first, found->second));
    }
    if (!holds) {
        reply.send_json(412, fields(), json{{"items", failed}}.dump());
        return;
    }
    for (const json& row : body.value("set_keys", json::array())) {
        const auto lease = row.value("lease", std::uint64_t{0});
        if (is_reserved(row.at("key")) ||
            (lease != 0 && !state_.leases.contains(lease))) {
            reply.send(lease == 0 ? 403 : 404, fields(), "");
            return;
        }
    }
    for (const json& row : body.value("set_keys", json::array()))
        set(row.at("key"), from_base64(row.at("value")),
            row.value("lease", std::uint64_t{0}));
    for (const json& key : body.value("remove", json::array()))
        erase(key);
    reply.send_json(200, fields(), json{{"revision", state_.revision}}.dump());
}

void platform_store::answer_lease(const http_request& request,
                                  http_reply& reply) {
    const std::string path = request.path();
    const std::lock_guard lock(mutex_);
    if (path == "/v1/kv-lease") {
        const milliseconds lifetime(
            json::parse(request.body).at("ttl_ms").get<std::int64_t>());
        const std::uint64_t id = next_lease_++;
        state_.leases[id] = {lifetime, steady::now() + lifetime};
        reply.send_json(
            200, fields(),
            json{{"lease", id}, {"ttl_ms", lifetime.count()}}.dump());
        return;
    }
    const std::size_t slash = path.rfind('/');
    const auto id = static_cast<std::uint64_t>(number(path.substr(slash + 1)));
    const auto found = state_.leases.find(id);
    if (found == state_.leases.end()) {
        reply.send(404, fields(), "");
    } else if (path.starts_with("/v1/kv-keep/")) {
        found->second.ends = steady::now() + found->second.lifetime;
        reply.send_json(
            200, fields(),
            json{{"ttl_ms", found->second.lifetime.count()}}.dump());
    } else {
        end_lease(id);
        reply.send_json(200, fields(), "{}");
    }
}

} // namespace ospreystage::review
