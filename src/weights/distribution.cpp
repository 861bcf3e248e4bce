#include <ospreystage/core/log.hpp>
#include <ospreystage/weights/distribution.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "distribution";
constexpr std::uint32_t origin_threads = 2;
constexpr std::uint32_t check_threads = 1;
/// Pending bytes on a connection above which uploads to the peer are dropped.
constexpr std::size_t max_unread_bytes = 8 * 1024 * 1024;
/// Maximum number of chunks in an announcement; larger ones are ignored.
constexpr std::uint32_t max_chunks = 1U << 20U;
/// Divisor for the share of the link that is always left to distribution.
constexpr std::uint64_t min_share_divisor = 8;
constexpr milliseconds min_wait{1};
/// Time for which an unused connection to the origin stays open for the next
/// chunk.
constexpr milliseconds max_origin_idle{200};
constexpr milliseconds origin_idle_check_interval{100};

distribution_strategy strategy_of(const settings& configuration) {
    if (configuration.distribution.baseline == "direct")
        return direct_strategy{};
    if (configuration.distribution.baseline == "tree")
        return tree_strategy{};
    return rendezvous_strategy{configuration.distribution.origin_copies,
                               configuration.distribution.origin_readers};
}

swarm_options options_of(const settings& configuration) {
    swarm_options options;
    options.strategy = strategy_of(configuration);
    options.seed = new_incarnation();
    options.max_origin_requests = configuration.distribution.origin_requests;
    return options;
}

chunk_backend backend_of(const settings& configuration) {
    if (configuration.distribution.chunk_folder.empty())
        return memory_chunks{};
    return file_chunks(configuration.distribution.chunk_folder);
}

/// Verifies and stores a chunk; returns `corrupt` only if the bytes do not
/// match the manifest, so that a local storage error is not counted as a
/// failure of the source.
fetch_outcome put(chunk_store& store, const digest& version,
                  std::uint32_t index, const std::string& data) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<fetch_outcome> {
            BOOST_LEAF_CHECK(store.put(version, index, data));
            return fetch_outcome::stored;
        },
        [](const error& failure) {
            return failure.code == error_code::malformed
                       ? fetch_outcome::corrupt
                       : fetch_outcome::refused;
        },
        [] { return fetch_outcome::refused; });
}

} // namespace

distribution::distribution(kernel& core, const settings& configuration)
    : core_(core), configuration_(configuration),
      links_(core.find<links>("links")),
      network_(core.find<network>("network")),
      decisions_(options_of(configuration), configuration.process.name),
      store_(backend_of(configuration)), origin_(configuration.origin.url),
      origin_pool_(origin_threads), check_pool_(check_threads) {}

distribution::distribution(kernel& core, const settings& configuration,
                           origin_layout layout)
    : core_(core), configuration_(configuration),
      links_(core.find<links>("links")),
      network_(core.find<network>("network")),
      decisions_(options_of(configuration), configuration.process.name),
      store_(backend_of(configuration)), origin_(std::move(layout)),
      origin_pool_(origin_threads), check_pool_(check_threads) {}

distribution::~distribution() {
    origin_.stop();
}

void distribution::start() {
    subscribe();
    set_request_bandwidth(0);
    set_members({});
    core_.every(service_name, origin_idle_check_interval,
                [this] { origin_.close_idle(max_origin_idle); });
    update();
}

void distribution::on_complete(completion_handler handler) {
    handlers_.push_back(std::move(handler));
}

// ---- Modifiers -------------------------------------------------------------

void distribution::accept_known(const digest& version,
                                const known_manifest& known) {
    error failure;
    const auto added = value_or_error(
        [&]() -> leaf::result<manifest> {
            BOOST_LEAF_AUTO(parsed, parse_manifest(known.json, version));
            BOOST_LEAF_CHECK(store_.add(version, parsed));
            return parsed;
        },
        failure);
    if (!added)
        log_event(log_level::warn, "manifest_refused",
                  {{"version", version}, {"error", to_string(failure)}});
    else if (!known.replaced.empty())
        keep_chunks(version, *added, known.replaced);
    for (const auto& [index, data] : known.chunks)
        if (put(store_, version, index, data) != fetch_outcome::stored)
            log_event(log_level::info, "chunk_refused",
                      {{"version", version}, {"index", index}});
    accept_manifest(origin_source{}, version, known.json);
}

void distribution::keep_chunks(const digest& version,
                               const manifest& description,
                               const digest& replaced) {
    const chunk_bitmap held = store_.bitmap(replaced);
    for (std::uint32_t index = 0;
         index < held.size() && index < description.chunks.size(); ++index) {
        if (!held.test(index))
            continue;
        error failure;
        const auto data = value_or_error(
            [&] { return store_.read(replaced, index); }, failure);
        if (!data)
            log_event(log_level::warn, "chunk_not_read",
                      {{"error", to_string(failure)}});
        else
            put(store_, version, index, *data);
    }
}

void distribution::set_members(const std::vector<member>& members) {
    const auto& self = configuration_.process;
    std::vector<swarm_member> live{{self.name, self.data_centre}};
    for (const member& entry : members) {
        const bool is_live = entry.state == member_state::alive ||
                             entry.state == member_state::suspect;
        if (entry.role == process_role::agent && is_live &&
            entry.id.name != self.name)
            live.push_back({entry.id.name, entry.data_centre});
    }
    decisions_.set_members(std::move(live), steady::now());
    update();
}

/// Returns true if a supplied manifest takes over the chunks of `version`.
bool distribution::is_replaced(const digest& version) const {
    return std::any_of(
        known_manifests_.begin(), known_manifests_.end(),
        [&](const auto& entry) { return entry.second.replaced == version; });
}

void distribution::request_versions(
    const std::vector<requested_version>& versions) {
    std::vector<requested_version> valid = versions;
    std::erase_if(valid, [](const requested_version& entry) {
        return !is_digest(entry.version);
    });
    const auto is_requested = [&](const digest& version) {
        return std::any_of(valid.begin(), valid.end(),
                           [&](const requested_version& entry) {
                               return entry.version == version;
                           });
    };
    const auto drop = [this](const digest& version) {
        store_.drop(version);
        reported_complete_.erase(version);
    };
    // A manifest that replaces another one keeps its chunks. All others go
    // first, so that not both versions take memory.
    std::vector<digest> replaced;
    for (const requested_version& entry : requested_) {
        if (is_requested(entry.version))
            continue;
        if (is_replaced(entry.version))
            replaced.push_back(entry.version);
        else
            drop(entry.version);
    }
    requested_ = std::move(valid);
    decisions_.set_requested(requested_, steady::now());
    for (const requested_version& entry : requested_) {
        auto known = known_manifests_.extract(entry.version);
        if (!known.empty() && !store_.contains(entry.version))
            accept_known(entry.version, known.mapped());
    }
    known_manifests_.clear();
    for (const digest& version : replaced)
        drop(version);
    update();
}

void distribution::set_origin(const std::string& url) {
    origin_.set_url(url);
}

void distribution::add_manifest(const digest& version, const std::string& json,
                                chunk_list chunks, const digest& replaced) {
    known_manifests_[version] = {json, std::move(chunks), replaced};
}

void distribution::set_request_bandwidth(std::uint64_t bytes_per_second) {
    const auto& section = configuration_.distribution;
    const std::uint64_t link = section.link_bytes_per_second;
    const std::uint64_t min_share = link / min_share_divisor;
    const std::uint64_t remaining =
        bytes_per_second < link ? link - bytes_per_second : 0;
    decisions_.set_budget(
        {std::max(remaining, min_share), section.shared_directions},
        steady::now());
}

// ---- Observers -------------------------------------------------------------

const swarm_counters& distribution::counters() const noexcept {
    return decisions_.counters();
}

std::uint32_t distribution::held_chunks(const digest& version) const {
    return decisions_.held(version).count();
}

std::size_t distribution::origin_connections() const {
    return origin_.connections();
}

nlohmann::json distribution::dump() const {
    nlohmann::json state = decisions_.dump();
    state["unsent"] = unsent_uploads_;
    state["origin_connections"] = origin_.connections();
    return state;
}

bool distribution::complete(const digest& version) const {
    return store_.complete(version);
}

leaf::result<std::string>
distribution::manifest_text(const digest& version) const {
    return store_.manifest_text(version);
}

leaf::result<std::string> distribution::read_chunk(const digest& version,
                                                   std::uint32_t index) const {
    return store_.read(version, index);
}

// ---- Messages of peers -----------------------------------------------------

void distribution::subscribe() {
    links_.on<chunk_have>(
        [this](const link_peer& peer, const chunk_have& have) {
            on_have(peer, have);
        });
    links_.on<manifest_request>(
        [this](const link_peer& peer, const manifest_request& request) {
            on_manifest_request(peer, request);
        });
    links_.on<manifest_reply>(
        [this](const link_peer& peer, const manifest_reply& answer) {
            accept_manifest(peer_source{peer.process.name}, answer.version,
                            answer.json);
        });
    links_.on<chunk_request>(
        [this](const link_peer& peer, const chunk_request& request) {
            decisions_.on_request(peer.process.name,
                                  static_cast<std::uint64_t>(peer.connection),
                                  request.version, request.index);
            update();
        });
    links_.on<chunk_data>(
        [this](const link_peer& peer, const chunk_data& data) {
            on_chunk_data(peer, data);
        });
    links_.on_down([this](const link_peer& peer, const std::string&) {
        on_peer_down(peer.process.name);
    });
}

void distribution::on_have(const link_peer& peer, const chunk_have& have) {
    if (have.chunks > max_chunks)
        return;
    chunk_bitmap held(have.chunks, have.bitmap);
    if (have.complete)
        held.fill();
    decisions_.on_have(peer.process.name, have.version, held, steady::now());
    update();
}

void distribution::on_manifest_request(const link_peer& peer,
                                       const manifest_request& request) {
    error ignored;
    auto text = value_or_error(
        [&] { return store_.manifest_text(request.version); }, ignored);
    links_.reply(peer.connection,
                 manifest_reply{request.version, text.value_or("")});
}

void distribution::on_chunk_data(const link_peer& peer,
                                 const chunk_data& data) {
    const peer_source source{peer.process.name};
    if (data.data.empty()) {
        finish_fetch(source, data.version, data.index, fetch_outcome::refused);
        return;
    }
    check_pool_.run([this, source, data] {
        check_and_store(source, data.version, data.index, data.data);
    });
}

void distribution::on_peer_down(const std::string& peer) {
    // Posted because `links` may still be executing a call from this service.
    core_.post(service_name, [this, peer] {
        decisions_.on_peer_down(peer, steady::now());
        update();
    });
}

// ---- Results ---------------------------------------------------------------

/// Verifies and stores a chunk; runs on a worker thread.
void distribution::check_and_store(const chunk_source& source,
                                   const digest& version, std::uint32_t index,
                                   const std::string& data) {
    const fetch_outcome outcome = put(store_, version, index, data);
    core_.post(service_name, [this, source, version, index, outcome] {
        finish_fetch(source, version, index, outcome);
    });
}

void distribution::finish_fetch(const chunk_source& source,
                                const digest& version, std::uint32_t index,
                                fetch_outcome outcome) {
    decisions_.on_fetched(source, version, index, outcome, steady::now());
    update();
}

void distribution::accept_manifest(const chunk_source& source,
                                   const digest& version,
                                   const std::string& json) {
    const bool is_requested = std::any_of(requested_.begin(), requested_.end(),
                                          [&](const requested_version& entry) {
                                              return entry.version == version;
                                          });
    if (!is_requested)
        return;
    if (json.empty()) {
        decisions_.on_manifest_failed(version, source, steady::now());
        update();
        return;
    }
    error failure;
    const auto description = value_or_error(
        [&]() -> leaf::result<manifest> {
            BOOST_LEAF_AUTO(parsed, parse_manifest(json, version));
            BOOST_LEAF_CHECK(store_.add(version, parsed));
            return parsed;
        },
        failure);
    if (description) {
        decisions_.on_manifest(version, *description, store_.bitmap(version),
                               steady::now());
    } else {
        log_event(log_level::warn, "manifest_refused",
                  {{"version", version}, {"error", to_string(failure)}});
        decisions_.on_manifest_failed(version, source, steady::now());
    }
    update();
}

// ---- Actions ---------------------------------------------------------------

void distribution::update() {
    const instant now = steady::now();
    for (const swarm_action& action : decisions_.tick(now))
        std::visit([this](const auto& chosen) { perform(chosen); }, action);
    report_complete();
    schedule(now);
}

void distribution::schedule(instant now) {
    const instant wake = decisions_.next_wake(now);
    if (timer_ && wake_ > now && wake_ <= wake)
        return;
    if (timer_)
        core_.cancel(*timer_);
    wake_ = wake;
    const auto wait = std::max<std::chrono::nanoseconds>(wake - now, min_wait);
    timer_ = core_.after(service_name, wait, [this] {
        timer_.reset();
        update();
    });
}

void distribution::report_complete() {
    std::vector<digest> completed;
    for (const requested_version& entry : requested_)
        if (decisions_.complete(entry.version) &&
            reported_complete_.insert(entry.version).second)
            completed.push_back(entry.version);
    for (const digest& version : completed) {
        log_event(log_level::info, "version_complete", {{"version", version}});
        for (const completion_handler& handler : handlers_)
            handler(version);
    }
}

void distribution::perform(const fetch_chunk& action) {
    const auto* peer = std::get_if<peer_source>(&action.source);
    if (peer == nullptr) {
        read_origin_chunk(action.version, action.index, action.is_probe);
        return;
    }
    if (!links_.send(peer->name, chunk_request{action.version, action.index}))
        on_peer_down(peer->name);
}

void distribution::perform(const fetch_manifest& action) {
    const auto* peer = std::get_if<peer_source>(&action.source);
    if (peer == nullptr)
        read_origin_manifest(action.version);
    else if (!links_.send(peer->name, manifest_request{action.version}))
        on_peer_down(peer->name);
}

void distribution::perform(const announce_chunks& action) {
    const chunk_bitmap held = decisions_.held(action.version);
    const bool is_complete = decisions_.complete(action.version);
    chunk_have have{links_.self(), action.version, held.size(), {}, false};
    have.complete = is_complete;
    if (!is_complete)
        have.bitmap = held.bytes();
    for (const std::string& peer : action.peers)
        links_.send(peer, have);
}

void distribution::perform(const serve_chunk& action) {
    const connection_id connection{action.connection};
    if (network_.pending_bytes(connection) > max_unread_bytes) {
        ++unsent_uploads_;
        return;
    }
    error ignored;
    auto data = value_or_error(
        [&] { return store_.read(action.version, action.index); }, ignored);
    links_.reply(connection, chunk_data{action.version, action.index,
                                        std::move(data).value_or("")});
}

void distribution::perform(const refuse_chunk& action) {
    links_.reply(connection_id{action.connection},
                 chunk_data{action.version, action.index, ""});
}

void distribution::perform(const reconnect_peer& action) {
    links_.reset(action.peer, "no answer to a chunk request");
}

// ---- Origin ----------------------------------------------------------------

void distribution::read_origin_chunk(const digest& version, std::uint32_t index,
                                     bool is_probe) {
    origin_pool_.run([this, version, index, is_probe] {
        error failure;
        const auto data = value_or_error(
            [&] { return origin_.chunk(version, index, is_probe); }, failure);
        if (data) {
            check_and_store(origin_source{}, version, index, *data);
            return;
        }
        // Probes fail many times a second while the origin is unavailable.
        if (!is_probe)
            log_event(log_level::warn, "origin_failed",
                      {{"error", to_string(failure)},
                       {"connections", origin_.connections()}});
        const fetch_outcome outcome = failure.code == error_code::not_found
                                          ? fetch_outcome::gone
                                          : fetch_outcome::failed;
        core_.post(service_name, [this, version, index, outcome] {
            finish_fetch(origin_source{}, version, index, outcome);
        });
    });
}

void distribution::read_origin_manifest(const digest& version) {
    origin_pool_.run([this, version] {
        error failure;
        const auto text =
            value_or_error([&] { return origin_.manifest(version); }, failure);
        core_.post(service_name, [this, version, json = text.value_or("")] {
            accept_manifest(origin_source{}, version, json);
        });
    });
}

} // namespace ospreystage
