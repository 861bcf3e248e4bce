#include "simulated_store.hpp"

#include "free_ports.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <string_view>
#include <utility>

namespace ospreystage::testing {

namespace {

using nlohmann::json;

constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_unavailable = 503;
/// Way to the store and back, as between regions.
constexpr milliseconds round_trip{10};
constexpr milliseconds slow_answer{300};
constexpr milliseconds expiry_interval{50};
/// Answers cross a link in parts of this size.
constexpr std::size_t part_bytes = 16 * 1024;

http_response json_answer(const json& body) {
    return text_response("application/json", body.dump());
}

http_response failure(std::uint16_t status) {
    http_response response = json_answer(json::object());
    response.status = status;
    return response;
}

std::string parameter(const std::string& target, const std::string& name) {
    const std::size_t query = target.find('?');
    if (query == std::string::npos)
        return "";
    for (const std::string& each : std::vector<std::string>(
             absl::StrSplit(target.substr(query + 1), '&')))
        if (each.starts_with(name + "="))
            return each.substr(name.size() + 1);
    return "";
}

std::int64_t number(const std::string& text) {
    std::int64_t value = 0;
    if (!absl::SimpleAtoi(text, &value))
        throw std::runtime_error("\"" + text + "\" is no number");
    return value;
}

std::string decode(const std::string& text) {
    std::string out;
    if (!absl::Base64Unescape(text, &out))
        throw std::runtime_error("value is not valid base64");
    return out;
}

json encode(const std::string& key, const std::string& value,
            std::int64_t revision) {
    return {{"key", key},
            {"value", absl::Base64Escape(value)},
            {"revision", revision}};
}

} // namespace

simulated_store::simulated_store(kernel& core, std::size_t clients)
    : core_(core) {
    const auto ports = support::free_ports(clients);
    for (std::size_t index = 0; index < clients; ++index) {
        auto client = std::make_unique<client_record>(
            core,
            web_server::callbacks{
                [this, index](exchange_id exchange,
                              const http_request& request) {
                    on_request(index, exchange, request);
                },
                [this, index](exchange_id exchange) {
                    std::erase_if(watches_, [&](const pending_watch& each) {
                        return each.origin.client == index &&
                               each.origin.exchange == exchange;
                    });
                },
                nullptr});
        client->local = {"127.0.0.1", ports.at(index)};
        error problem;
        if (!value_or_error(
                [&]() -> leaf::result<bool> {
                    BOOST_LEAF_CHECK(client->server.listen(client->local));
                    return true;
                },
                problem))
            throw std::runtime_error(to_string(problem));
        clients_.push_back(std::move(client));
    }
    core_.every("store", expiry_interval, [this] {
        expire_leases();
        answer_watches();
    });
}

// ---- Contents --------------------------------------------------------------

void simulated_store::put(const std::string& key, const std::string& value,
                          std::uint64_t lease) {
    ++revision_;
    history_.push_back({key, revision_, value});
    items_[key] = {value, revision_, lease};
    answer_watches();
}

void simulated_store::erase(const std::string& key) {
    if (items_.erase(key) == 0)
        return;
    ++revision_;
    history_.push_back({key, revision_, std::nullopt});
    answer_watches();
}

// ---- Link ------------------------------------------------------------------

void simulated_store::set_link_rate(std::uint64_t bytes_per_second) {
    link_rate_ = bytes_per_second;
}

// ---- Faults ----------------------------------------------------------------

void simulated_store::set_fault(std::size_t client, store_fault fault) {
    if (fault == store_fault::silence)
        drop_open_calls(client);
    clients_[client]->fault = fault;
}

void simulated_store::drop_open_calls(std::size_t client) {
    ++clients_[client]->generation;
}

std::size_t simulated_store::calls(std::size_t client,
                                   const std::string& target) const {
    return static_cast<std::size_t>(std::ranges::count_if(
        clients_[client]->targets,
        [&](const std::string& each) { return each.starts_with(target); }));
}

bool simulated_store::is_away() const {
    return std::ranges::all_of(clients_, [](const auto& client) {
        return client->fault == store_fault::silence ||
               client->fault == store_fault::refusal ||
               client->fault == store_fault::reset;
    });
}

// ---- Calls -----------------------------------------------------------------

void simulated_store::on_request(std::size_t client, exchange_id exchange,
                                 const http_request& request) {
    client_record& record = *clients_[client];
    record.targets.push_back(request.target);
    const call_origin origin{client, exchange, record.generation};
    switch (record.fault) {
    case store_fault::silence:
        return;
    case store_fault::refusal:
        record.server.respond(exchange, failure(status_unavailable));
        return;
    case store_fault::reset:
        record.server.begin(exchange, failure(status_unavailable), 1);
        record.server.abort(exchange);
        return;
    case store_fault::none:
    case store_fault::slowness:
        break;
    }
    const milliseconds delay =
        record.fault == store_fault::slowness ? slow_answer : round_trip;
    core_.after("store", delay,
                [this, origin, request] { answer(origin, request); });
}

void simulated_store::answer(const call_origin& origin,
                             const http_request& request) {
    const std::string path = request.target.substr(0, request.target.find('?'));
    const std::string prefix = parameter(request.target, "path_prefix");
    const auto id_after = [&](const std::string& start) {
        return static_cast<std::uint64_t>(number(path.substr(start.size())));
    };
    if (path == "/v1/kv-range") {
        respond(origin, range(prefix));
    } else if (path == "/v1/kv-watch") {
        watches_.push_back(
            {origin, prefix, number(parameter(request.target, "after")),
             steady::now() +
                 milliseconds(number(parameter(request.target, "wait_ms")))});
        answer_watches();
    } else if (path == "/v1/kv-txn") {
        respond(origin, transact(request.body));
    } else if (path == "/v1/kv-lease") {
        const milliseconds lifetime(json::parse(request.body).at("ttl_ms"));
        leases_[next_lease_] = {lifetime, steady::now() + lifetime};
        respond(origin, json_answer({{"lease", next_lease_++},
                                     {"ttl_ms", lifetime.count()}}));
    } else if (path.starts_with("/v1/kv-keep/")) {
        respond(origin, keep(id_after("/v1/kv-keep/")));
    } else if (path.starts_with("/v1/kv-lease-end/")) {
        end_lease(id_after("/v1/kv-lease-end/"));
        respond(origin, json_answer(json::object()));
    } else {
        respond(origin, failure(status_not_found));
    }
}

void simulated_store::respond(const call_origin& origin,
                              http_response response) {
    client_record& client = *clients_[origin.client];
    if (client.generation != origin.generation)
        return;
    response.fields.push_back({"Store-Era", "1"});
    sent_bytes_ += response.body.size();
    if (link_rate_)
        send_over_link(origin, std::move(response));
    else
        client.server.respond(origin.exchange, response);
}

void simulated_store::send_over_link(const call_origin& origin,
                                     http_response response) {
    const auto body = std::make_shared<std::string>(std::move(response.body));
    response.body.clear();
    link_free_at_ = std::max(link_free_at_, steady::now());
    for (std::size_t begin = 0; begin < body->size(); begin += part_bytes) {
        const std::size_t size = std::min(part_bytes, body->size() - begin);
        link_free_at_ += std::chrono::nanoseconds(seconds(1)) * size /
                         static_cast<std::int64_t>(*link_rate_);
        core_.after(
            "store", link_free_at_ - steady::now(),
            [this, origin, response, body, begin, size] {
                web_server& server = clients_[origin.client]->server;
                if (begin == 0)
                    server.begin(origin.exchange, response, body->size());
                server.write(origin.exchange,
                             std::string_view(*body).substr(begin, size));
                if (begin + size == body->size())
                    server.finish(origin.exchange);
            });
    }
}

http_response simulated_store::range(const std::string& prefix) const {
    json items = json::array();
    for (const auto& [key, entry] : items_)
        if (key.starts_with(prefix))
            items.push_back(encode(key, entry.value, entry.revision));
    return json_answer(
        {{"items", items}, {"has_more", false}, {"store_revision", revision_}});
}

http_response simulated_store::transact(const std::string& body) {
    const json parsed = json::parse(body);
    for (const json& entry : parsed.at("set_keys"))
        if (!leases_.contains(entry.at("lease")))
            return failure(status_not_found);
    for (const json& entry : parsed.at("set_keys"))
        put(entry.at("key"), decode(entry.at("value")), entry.at("lease"));
    for (const json& key : parsed.at("remove"))
        erase(key);
    return json_answer({{"revision", revision_}});
}

http_response simulated_store::keep(std::uint64_t id) {
    const auto found = leases_.find(id);
    if (found == leases_.end())
        return failure(status_not_found);
    found->second.until = steady::now() + found->second.lifetime;
    return json_answer(json::object());
}

void simulated_store::end_lease(std::uint64_t id) {
    leases_.erase(id);
    std::vector<std::string> keys;
    for (const auto& [key, entry] : items_)
        if (entry.lease == id)
            keys.push_back(key);
    for (const std::string& key : keys)
        erase(key);
}

/// Ends the leases whose time has passed; it stands still while the store is
/// away.
void simulated_store::expire_leases() {
    std::vector<std::uint64_t> expired;
    for (auto& [id, each] : leases_)
        if (is_away())
            each.until += expiry_interval;
        else if (each.until <= steady::now())
            expired.push_back(id);
    for (const std::uint64_t id : expired)
        end_lease(id);
}

/// Returns the answer to a watch, or nothing while it waits.
std::optional<http_response>
simulated_store::changes(const pending_watch& watch) const {
    json events = json::array();
    for (const event& each : history_) {
        if (each.revision <= watch.after || !each.key.starts_with(watch.prefix))
            continue;
        if (each.value)
            events.push_back(encode(each.key, *each.value, each.revision));
        else
            events.push_back({{"key", each.key},
                              {"revision", each.revision},
                              {"deleted", true}});
    }
    if (events.empty() && steady::now() < watch.until)
        return std::nullopt;
    return json_answer({{"events", events}, {"store_revision", revision_}});
}

void simulated_store::answer_watches() {
    std::vector<pending_watch> waiting;
    for (const pending_watch& each : std::exchange(watches_, {}))
        if (auto response = changes(each))
            respond(each.origin, std::move(*response));
        else
            waiting.push_back(each);
    for (pending_watch& each : waiting)
        watches_.push_back(std::move(each));
}

} // namespace ospreystage::testing
