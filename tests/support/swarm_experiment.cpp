#include <fmt/format.h>
#include <tests/support/swarm_experiment.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <utility>

namespace ospreystage::support {

namespace {

using std::chrono::nanoseconds;

constexpr std::uint32_t data_centres = 3;
constexpr double origin_link_copies = 4;
constexpr double member_link_copies = 2;
constexpr nanoseconds latency = microseconds(1000);
constexpr std::uint32_t slices_per_chunk = 8;
constexpr double have_overhead_bytes = 130;
constexpr double request_bytes = 90;
constexpr int max_windows = 20;

struct node_record {
    std::unique_ptr<swarm> decisions;
    swarm_member member;
    instant up_free{};
    instant down_free{};
    instant wake{};
    bool is_alive = true;
    bool is_silent = false;
    bool is_original = true;
    std::optional<instant> completed;
    double control_bytes = 0;
};

struct origin_read {
    std::string reader;
    std::uint32_t index = 0;
    std::uint32_t slices_left = slices_per_chunk;
};

class experiment {
  public:
    explicit experiment(const swarm_scenario& scenario);
    swarm_measurement run();

  private:
    struct event {
        instant at;
        std::uint64_t sequence;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    void at(instant when, std::function<void()> run);
    void add_node(const std::string& name, std::uint32_t data_centre_index);
    void request_version(const std::string& name);
    void update_members();
    void schedule_faults();
    void kill(const std::string& name);
    void update(const std::string& name);
    void perform(const std::string& name, const swarm_action& action);
    void fetch(const std::string& name, const fetch_chunk& action);
    void serve(const std::string& name, const serve_chunk& action);
    void announce(const std::string& name, const announce_chunks& action);
    void deliver_manifest(const std::string& name);
    void read_slice();
    void fail_read(const origin_read& read, milliseconds delay);
    [[nodiscard]] bool is_origin_down() const;
    void arrive(const std::string& name, const chunk_source& source,
                std::uint32_t index, instant when);
    void send(const std::string& from, const std::string& to, double bytes,
              std::function<void(swarm&)> deliver);
    instant& uplink(node_record& node);
    [[nodiscard]] bool is_done() const;

    swarm_scenario scenario_;
    std::mt19937_64 random_;
    manifest description_;
    digest version_;
    nanoseconds chunk_time_; ///< Of a member's link.
    nanoseconds slice_time_; ///< Of the origin's link.
    instant start_ = instant(seconds(1000));
    instant now_ = start_;
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
    std::map<std::string, node_record> nodes_;
    std::deque<origin_read> reads_;
    std::uint32_t origin_slices_ = 0;
    bool origin_busy_ = false;
    std::set<std::uint32_t> sent_; ///< Chunks that the origin sent completely.
    std::optional<instant> resumed_; ///< First read after the outage.
    instant origin_done_{};          ///< When it had sent all of them.
};

experiment::experiment(const swarm_scenario& scenario)
    : scenario_(scenario), random_(scenario.seed) {
    description_.chunk_bytes = scenario.chunk_bytes;
    description_.total_bytes =
        std::uint64_t{scenario.chunks} * scenario.chunk_bytes;
    description_.chunks.assign(scenario.chunks, sha256("chunk"));
    version_ = sha256(fmt::format("version {}", scenario.seed));
    const double chunk_seconds =
        std::chrono::duration<double>(scenario.window).count() /
        scenario.chunks;
    const auto of = [](double value) {
        return std::chrono::duration_cast<nanoseconds>(
            std::chrono::duration<double>(value));
    };
    chunk_time_ = of(chunk_seconds / member_link_copies);
    slice_time_ = of(chunk_seconds / origin_link_copies / slices_per_chunk);
    if (scenario.rates) {
        const double bytes = scenario.chunk_bytes;
        const auto& rates = *scenario.rates;
        chunk_time_ = of(bytes / static_cast<double>(rates.member));
        slice_time_ =
            of(bytes / static_cast<double>(rates.origin) / slices_per_chunk);
    }
    for (std::uint32_t index = 0; index < scenario.members; ++index)
        add_node(fmt::format("agent-{}", index), index % data_centres);
    update_members();
    schedule_faults();
}

void experiment::at(instant when, std::function<void()> run) {
    events_.push({std::max(when, now_), sequence_++, std::move(run)});
}

void experiment::add_node(const std::string& name,
                          std::uint32_t data_centre_index) {
    swarm_options options = scenario_.options;
    options.strategy = scenario_.strategy;
    options.seed = scenario_.seed;
    node_record& node = nodes_[name];
    node.decisions = std::make_unique<swarm>(options, name);
    node.member = {name, fmt::format("dc-{}", data_centre_index)};
    link_budget budget;
    budget.bytes_per_second = static_cast<std::uint64_t>(
        (scenario_.rates ? scenario_.rates->budget_share : 1) *
        scenario_.chunk_bytes /
        std::chrono::duration<double>(chunk_time_).count());
    budget.shared_directions = scenario_.shared_directions;
    node.decisions->set_budget(budget, now_);
    const std::size_t position = nodes_.size();
    if (scenario_.manifest_spacing == milliseconds(0)) {
        request_version(name);
        return;
    }
    at(now_ + scenario_.manifest_spacing * position, [this, name] {
        request_version(name);
        nodes_.at(name).decisions->on_manifest(version_, description_,
                                               chunk_bitmap(), now_);
        update(name);
    });
}

void experiment::request_version(const std::string& name) {
    requested_version requested{version_, 1};
    if (scenario_.is_new_version)
        requested.published_at = start_;
    nodes_.at(name).decisions->set_requested({requested}, now_);
}

void experiment::update_members() {
    std::vector<swarm_member> members;
    for (const auto& [name, node] : nodes_)
        if (node.is_alive)
            members.push_back(node.member);
    for (auto& [name, node] : nodes_) {
        if (!node.is_alive)
            continue;
        node.decisions->set_members(members, now_);
        at(now_, [this, name = name] { update(name); });
    }
}

void experiment::schedule_faults() {
    const auto spread = scenario_.window / 2;
    for (std::uint32_t index = 0; index < scenario_.killed; ++index) {
        const std::string name = fmt::format("agent-{}", index * 9 + 4);
        at(start_ + spread * (index + 1) / (scenario_.killed + 1),
           [this, name] { kill(name); });
    }
    for (std::uint32_t index = 0; index < scenario_.stalled; ++index) {
        const std::string name = fmt::format("agent-{}", index * 10 + 2);
        at(start_ + spread * index / scenario_.stalled,
           [this, name] { nodes_.at(name).is_silent = true; });
    }
}

void experiment::kill(const std::string& name) {
    node_record& node = nodes_.at(name);
    node.is_alive = false;
    const auto data_centre_index =
        static_cast<std::uint32_t>(node.member.data_centre.back() - '0');
    for (auto& [other, peer] : nodes_)
        if (peer.is_alive && !node.is_silent)
            peer.decisions->on_peer_down(name, now_);
    at(now_ + scenario_.membership_lag, [this, name, data_centre_index] {
        add_node(name + "-new", data_centre_index);
        nodes_.at(name + "-new").is_original = false;
        update_members();
    });
}

void experiment::update(const std::string& name) {
    node_record& node = nodes_.at(name);
    if (!node.is_alive)
        return;
    for (const swarm_action& action : node.decisions->tick(now_))
        perform(name, action);
    if (node.decisions->complete(version_) && !node.completed)
        node.completed = now_;
    const instant wake = node.decisions->next_wake(now_);
    if (node.wake > now_ && node.wake <= wake)
        return;
    node.wake = wake;
    at(wake, [this, name, wake] {
        if (nodes_.at(name).wake == wake)
            update(name);
    });
}

void experiment::perform(const std::string& name, const swarm_action& action) {
    if (const auto* chunk = std::get_if<fetch_chunk>(&action))
        fetch(name, *chunk);
    else if (const auto* upload = std::get_if<serve_chunk>(&action))
        serve(name, *upload);
    else if (const auto* have = std::get_if<announce_chunks>(&action))
        announce(name, *have);
    else if (std::holds_alternative<fetch_manifest>(action))
        deliver_manifest(name);
    else if (const auto* refused = std::get_if<refuse_chunk>(&action))
        send(name, refused->peer, request_bytes,
             [this, name, index = refused->index](swarm& peer) {
                 peer.on_fetched(peer_source{name}, version_, index,
                                 fetch_outcome::refused, now_);
             });
}

void experiment::fetch(const std::string& name, const fetch_chunk& action) {
    if (const auto* peer = std::get_if<peer_source>(&action.source)) {
        send(name, peer->name, request_bytes,
             [this, name, index = action.index](swarm& server) {
                 server.on_request(name, 0, version_, index);
             });
        return;
    }
    if (is_origin_down()) {
        fail_read({name, action.index}, action.is_probe
                                            ? scenario_.probe_timeout
                                            : scenario_.read_timeout);
        return;
    }
    if (scenario_.max_origin_connections > 0 &&
        reads_.size() >= scenario_.max_origin_connections) {
        fail_read({name, action.index}, milliseconds(0));
        return;
    }
    if (scenario_.outage && now_ >= start_ + scenario_.outage->end && !resumed_)
        resumed_ = now_;
    reads_.push_back({name, action.index});
    if (!origin_busy_)
        read_slice();
}

bool experiment::is_origin_down() const {
    return scenario_.outage && now_ >= start_ + scenario_.outage->begin &&
           now_ < start_ + scenario_.outage->end;
}

void experiment::fail_read(const origin_read& read, milliseconds delay) {
    at(now_ + latency + delay, [this, read] {
        nodes_.at(read.reader)
            .decisions->on_fetched(origin_source{}, version_, read.index,
                                   fetch_outcome::failed, now_);
        update(read.reader);
    });
}

void experiment::read_slice() {
    const double copies = static_cast<double>(origin_slices_) /
                          (scenario_.chunks * slices_per_chunk);
    const bool is_gone = scenario_.origin_copies_available &&
                         copies >= *scenario_.origin_copies_available;
    origin_busy_ = !reads_.empty();
    if (reads_.empty())
        return;
    if (is_gone) {
        fail_read(reads_.front(), milliseconds(0));
        reads_.pop_front();
        read_slice();
        return;
    }
    if (is_origin_down()) {
        for (const origin_read& read : std::exchange(reads_, {}))
            fail_read(read, scenario_.read_timeout);
        origin_busy_ = false;
        return;
    }
    ++origin_slices_;
    at(now_ + slice_time_, [this] {
        origin_read read = reads_.front();
        reads_.pop_front();
        if (--read.slices_left > 0)
            reads_.push_back(read);
        else {
            sent_.insert(read.index);
            if (sent_.size() == scenario_.chunks && origin_done_ == instant{})
                origin_done_ = now_;
            arrive(read.reader, origin_source{}, read.index, now_);
        }
        read_slice();
    });
}

void experiment::serve(const std::string& name, const serve_chunk& action) {
    instant& link = uplink(nodes_.at(name));
    link = std::max(link, now_) + chunk_time_;
    if (!nodes_.at(name).is_silent && nodes_.contains(action.peer))
        arrive(action.peer, peer_source{name}, action.index, link);
}

void experiment::arrive(const std::string& name, const chunk_source& source,
                        std::uint32_t index, instant when) {
    node_record& node = nodes_.at(name);
    if (!node.is_alive)
        return;
    instant& link = scenario_.shared_directions ? node.up_free : node.down_free;
    link = std::max(link, now_) + chunk_time_;
    at(std::max(when + latency, link), [this, name, source, index] {
        node_record& receiver = nodes_.at(name);
        const auto* peer = std::get_if<peer_source>(&source);
        const bool is_lost = peer != nullptr && !nodes_.at(peer->name).is_alive;
        if (!receiver.is_alive || receiver.is_silent || is_lost)
            return;
        const bool is_bad = random_() % 1000 < scenario_.corrupt_per_mille;
        receiver.decisions->on_fetched(
            source, version_, index,
            is_bad ? fetch_outcome::corrupt : fetch_outcome::stored, now_);
        update(name);
    });
}

void experiment::announce(const std::string& name,
                          const announce_chunks& action) {
    const chunk_bitmap held = nodes_.at(name).decisions->held(version_);
    const double bytes =
        have_overhead_bytes + static_cast<double>(held.bytes().size());
    for (const std::string& peer : action.peers)
        send(name, peer, bytes, [this, name, held](swarm& receiver) {
            receiver.on_have(name, version_, held, now_);
        });
}

void experiment::deliver_manifest(const std::string& name) {
    at(now_ + 2 * latency, [this, name] {
        node_record& node = nodes_.at(name);
        if (!node.is_alive)
            return;
        node.decisions->on_manifest(version_, description_, chunk_bitmap(),
                                    now_);
        update(name);
    });
}

void experiment::send(const std::string& from, const std::string& to,
                      double bytes, std::function<void(swarm&)> deliver) {
    nodes_.at(from).control_bytes += bytes;
    if (nodes_.at(from).is_silent)
        return;
    at(now_ + latency, [this, to, deliver = std::move(deliver)] {
        const auto found = nodes_.find(to);
        if (found == nodes_.end() || !found->second.is_alive ||
            found->second.is_silent)
            return;
        deliver(*found->second.decisions);
        update(to);
    });
}

instant& experiment::uplink(node_record& node) {
    return node.up_free;
}

bool experiment::is_done() const {
    return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& entry) {
        const node_record& node = entry.second;
        return node.completed || !node.is_alive || node.is_silent ||
               !node.is_original;
    });
}

swarm_measurement experiment::run() {
    const instant end = start_ + scenario_.window * max_windows;
    while (!events_.empty() && now_ < end && !is_done()) {
        const event next = events_.top();
        events_.pop();
        now_ = next.at;
        next.run();
    }
    swarm_measurement result;
    instant last = start_;
    double control = 0;
    for (const auto& [name, node] : nodes_) {
        const swarm_counters& seen = node.decisions->counters();
        result.counters.from_peers += seen.from_peers;
        result.counters.from_remote += seen.from_remote;
        result.counters.from_origin += seen.from_origin;
        result.counters.served += seen.served;
        result.counters.corrupt += seen.corrupt;
        result.counters.refused += seen.refused;
        result.counters.timeouts += seen.timeouts;
        result.counters.duplicates += seen.duplicates;
        result.counters.backup_reads += seen.backup_reads;
        control += node.control_bytes;
        if (!node.is_alive || node.is_silent || !node.is_original)
            continue;
        ++result.survivors;
        result.completed += node.completed ? 1 : 0;
        last = std::max(last, node.completed.value_or(now_));
    }
    const double size = scenario_.members;
    const double spent = std::chrono::duration<double>(last - start_).count();
    const double window =
        std::chrono::duration<double>(scenario_.window).count();
    result.time = std::chrono::duration_cast<milliseconds>(last - start_);
    if (resumed_)
        result.resume_time = std::chrono::duration_cast<milliseconds>(
            *resumed_ - start_ - scenario_.outage->end);
    if (origin_done_ != instant{})
        result.origin_time =
            std::chrono::duration_cast<milliseconds>(origin_done_ - start_);
    result.origin_copies = static_cast<double>(origin_slices_) /
                           (scenario_.chunks * slices_per_chunk);
    result.remote_copies =
        static_cast<double>(result.counters.from_remote) / scenario_.chunks;
    result.control_bytes_per_second = control / size / spent;
    const double duplex =
        std::max({1 / origin_link_copies, 1 / member_link_copies,
                  size / (origin_link_copies + size * member_link_copies)});
    const double shared = 1 - result.origin_copies / (2 * size);
    result.time_ratio =
        spent / (window * (scenario_.shared_directions ? shared : duplex));
    return result;
}

} // namespace

swarm_measurement run_experiment(const swarm_scenario& scenario) {
    return experiment(scenario).run();
}

} // namespace ospreystage::support
