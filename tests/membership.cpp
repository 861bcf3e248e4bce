#include <ospreystage/fleet/membership.hpp>
#include <ospreystage/network/codec.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <set>

using namespace ospreystage;

namespace {

constexpr milliseconds interval{500};
constexpr milliseconds step{125};

/// Detectors that exchange datagrams in memory, in simulated time.
class fleet {
  public:
    using filter = std::function<bool(const std::string&, const std::string&)>;

    explicit fleet(std::size_t witnesses) {
        for (std::size_t index = 0; index < witnesses; ++index)
            witnesses_.push_back({name_of(index), address_of(name_of(index))});
    }

    static std::string name_of(std::size_t index) {
        return "p" + std::to_string(index);
    }

    static address address_of(const std::string& name) {
        return {"10.0.0." + name.substr(1), 7000};
    }

    void start(const std::string& name, std::uint64_t incarnation = 1) {
        member self;
        self.id = {name, incarnation};
        self.vm = "vm-" + name;
        self.data_centre = "kolkata";
        self.region = "east";
        self.peer = address_of(name);
        self.http = address_of(name);
        nodes_.erase(name);
        nodes_.emplace(name,
                       membership(self, witnesses_, interval, incarnation));
    }

    void start_all(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index)
            start(name_of(index));
    }

    membership& at(const std::string& name) { return nodes_.at(name); }
    membership stop(const std::string& name) {
        return std::move(nodes_.extract(name).mapped());
    }
    void put(const std::string& name, membership node) {
        nodes_.insert_or_assign(name, std::move(node));
    }

    void run(std::chrono::milliseconds time) {
        for (const instant end = now + time; now < end; now += step) {
            for (auto& [name, node] : nodes_) {
                if (!paused.contains(name))
                    deliver(name, node.tick(now));
            }
            drain();
        }
    }

    void deliver(const std::string& from, const membership::actions& actions) {
        for (const membership_action& action : actions) {
            if (const auto* ping = std::get_if<send_ping>(&action))
                queue_.push_back({from, ping->to, ping->datagram});
            if (const auto* ack = std::get_if<send_ack>(&action))
                queue_.push_back({from, ack->to, ack->datagram});
            if (const auto* by = std::get_if<superseded>(&action))
                superseded_by[from] = by->by;
        }
    }

    /// Merges the table of another process into each, as after a sync.
    void exchange_tables(std::size_t distance) {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            const std::size_t other = (index * 7 + distance) % nodes_.size();
            const auto table = at(name_of(other)).members();
            deliver(name_of(index), at(name_of(index)).merge(table, now));
        }
        drain();
    }

    /// Counts the detectors that see `name` in `state`.
    [[nodiscard]] std::size_t count(const std::string& name,
                                    member_state state) const {
        std::size_t seen = 0;
        for (const auto& [at, node] : nodes_) {
            for (const member& item : node.members())
                seen += item.id.name == name && item.state == state ? 1 : 0;
        }
        return seen;
    }

    /// Counts the detectors that consider `name` available for new work.
    [[nodiscard]] std::size_t count_available(const std::string& name) const {
        std::size_t seen = 0;
        for (const auto& [at, node] : nodes_) {
            for (const member& item : node.alive(process_role::entry))
                seen += item.id.name == name ? 1 : 0;
        }
        return seen;
    }

    [[nodiscard]] bool converged() const {
        return std::all_of(nodes_.begin(), nodes_.end(), [&](const auto& item) {
            return item.second.alive(process_role::entry).size() ==
                   nodes_.size();
        });
    }

    instant now = instant() + std::chrono::hours(1);
    filter delivers = [](const std::string&, const std::string&) {
        return true;
    };
    std::set<std::string> paused;
    std::map<std::string, process_id> superseded_by;
    std::map<std::string, std::size_t> sent_bytes;
    std::size_t largest_datagram = 0;

  private:
    struct datagram {
        std::string from;
        address to;
        message value;
    };

    void drain() {
        while (!queue_.empty()) {
            const datagram next = queue_.front();
            queue_.pop_front();
            const std::size_t size = encode_payload(next.value).size();
            sent_bytes[next.from] += size;
            largest_datagram = std::max(largest_datagram, size);
            const std::string to = "p" + next.to.host.substr(7);
            const auto found = nodes_.find(to);
            if (found == nodes_.end() || paused.contains(to) ||
                !delivers(next.from, to))
                continue;
            const address from = address_of(next.from);
            if (const auto* ping = std::get_if<gossip_ping>(&next.value))
                deliver(to, found->second.receive(from, *ping, now));
            if (const auto* ack = std::get_if<gossip_ack>(&next.value))
                deliver(to, found->second.receive(from, *ack, now));
        }
    }

    std::vector<witness_settings> witnesses_;
    std::map<std::string, membership> nodes_;
    std::deque<datagram> queue_;
};

} // namespace

TEST_CASE("membership - processes meet through the witnesses") {
    fleet all(3);
    all.start_all(26);
    all.run(seconds(10));
    CHECK(all.converged());
}

TEST_CASE("membership - a stopped process is dead everywhere within 10 s") {
    fleet all(3);
    all.start_all(26);
    all.run(seconds(10));
    all.stop("p7");
    all.run(seconds(10));
    CHECK(all.count("p7", member_state::alive) == 0);
    CHECK(all.count("p7", member_state::suspect) == 0);
    CHECK(all.converged());
}

TEST_CASE("membership - a broken path between two processes kills neither") {
    fleet all(3);
    all.start_all(12);
    all.run(seconds(10));
    all.delivers = [](const std::string& from, const std::string& to) {
        return !((from == "p4" && to == "p5") || (from == "p5" && to == "p4"));
    };
    std::size_t suspicions = 0;
    for (int round = 0; round < 60; ++round) {
        all.run(seconds(1));
        suspicions += all.count("p4", member_state::suspect) +
                      all.count("p5", member_state::suspect);
    }
    CHECK(suspicions == 0);
    CHECK(all.converged());
}

TEST_CASE("membership - two sides of a healed partition find each other") {
    fleet all(2);
    all.start_all(12);
    all.run(seconds(10));
    const auto side = [](const std::string& name) {
        return std::stoi(name.substr(1)) % 2;
    };
    all.delivers = [&](const std::string& from, const std::string& to) {
        return side(from) == side(to);
    };
    all.run(seconds(120));
    CHECK(all.count_available("p3") == 6);
    all.delivers = [](const std::string&, const std::string&) { return true; };
    all.run(seconds(15));
    CHECK(all.converged());
}

TEST_CASE("membership - a newer incarnation replaces the older at once") {
    fleet all(2);
    all.start_all(8);
    all.run(seconds(10));
    membership older = all.stop("p5");
    all.start("p5", 2);
    all.run(seconds(10));
    CHECK(all.converged());
    for (const member& item : all.at("p0").members())
        CHECK((item.id.name != "p5" || item.id.incarnation == 2));
    CHECK_FALSE(all.superseded_by.contains("p5"));

    // The older one resumes and probes: the answer reports the newer one.
    gossip_ping probe;
    for (const membership_action& action :
         older.tick(all.now + std::chrono::minutes(1))) {
        if (const auto* ping = std::get_if<send_ping>(&action))
            probe = ping->datagram;
    }
    REQUIRE(probe.sender.incarnation == 1);
    const auto answer =
        all.at("p3").receive(fleet::address_of("p9"), probe, all.now);
    REQUIRE(answer.size() == 1); // its records are not merged
    const auto* ack = std::get_if<send_ack>(&answer.front());
    REQUIRE(ack != nullptr);
    bool is_superseded = false;
    for (const membership_action& effect :
         older.receive(ack->to, ack->datagram, all.now)) {
        const auto* by = std::get_if<superseded>(&effect);
        is_superseded =
            is_superseded || (by != nullptr && by->by.incarnation == 2);
    }
    CHECK(is_superseded);
    all.run(seconds(2));
    CHECK(all.converged());
}

TEST_CASE("membership - a process paused for a minute declares nobody dead") {
    fleet all(2);
    all.start_all(8);
    all.run(seconds(10));
    // Its last probes before the pause are lost, so it suspects a member.
    all.delivers = [](const std::string& from, const std::string&) {
        return from != "p6";
    };
    all.run(milliseconds(1250));
    REQUIRE(all.at("p6").alive(process_role::entry).size() < 8);
    all.delivers = [](const std::string&, const std::string&) { return true; };
    all.paused = {"p6"};
    all.run(seconds(60));
    CHECK(all.count_available("p6") == 1); // itself
    all.paused.clear();
    for (int ticks = 0; ticks < 8; ++ticks) {
        all.run(step);
        CHECK(all.at("p6").members().size() == 8); // no member is dead
    }
    all.run(seconds(15));
    CHECK(all.converged());
    CHECK(all.superseded_by.empty());
}

TEST_CASE("membership - a leaving process gets no new work within 3 s") {
    fleet all(3);
    all.start_all(26);
    all.run(seconds(10));
    all.deliver("p9", all.at("p9").set_leaving());
    all.run(seconds(3));
    CHECK(all.count_available("p9") == 0);
    CHECK(all.count("p9", member_state::leaving) == 26);
    // Unanswered probes while it drains do not make it available again.
    all.paused = {"p9"};
    all.run(seconds(2));
    CHECK(all.count_available("p9") == 0);
    CHECK(all.count("p9", member_state::suspect) == 0);
    CHECK(all.count("p9", member_state::leaving) >= 1);
    all.paused.clear();
    all.run(seconds(20));
    CHECK(all.count_available("p9") == 0);
}

TEST_CASE("membership - a member listed as leaving gets no new work") {
    fleet all(3);
    all.start_all(26);
    all.run(seconds(10));
    all.deliver("p0", all.at("p0").on_vm_list({{"vm-p9", true}}, all.now));
    all.run(seconds(3));
    CHECK(all.count_available("p9") == 0);
    CHECK(all.at("p9").self().listed_leaving);
}

TEST_CASE("membership - a late list keeps a new VM out only while it is late") {
    fleet all(3);
    all.start_all(12);
    all.run(seconds(10));
    // The VM was replaced; the list still shows the state of its predecessor.
    all.start("p9", 2);
    for (int poll = 0; poll < 10; ++poll) {
        all.deliver("p0", all.at("p0").on_vm_list({{"vm-p9", true}}, all.now));
        all.run(seconds(1));
    }
    CHECK(all.count_available("p9") == 0);
    for (int poll = 0; poll < 5; ++poll) {
        all.deliver("p0", all.at("p0").on_vm_list({{"vm-p9", false}}, all.now));
        all.run(seconds(1));
    }
    CHECK(all.count_available("p9") == 12);
}

TEST_CASE("membership - a VM missing from the list stays available") {
    fleet all(2);
    all.start_all(8);
    all.run(seconds(10));
    all.deliver("p0", all.at("p0").on_vm_list({{"vm-p1", false}}, all.now));
    all.run(seconds(5));
    CHECK(all.converged());
}

TEST_CASE("membership - a process declared dead refutes it") {
    fleet all(2);
    all.start_all(8);
    all.run(seconds(10));
    member accused = all.at("p5").self();
    accused.state = member_state::dead;
    all.deliver("p0", all.at("p0").merge({accused}, all.now));
    CHECK(all.count_available("p5") == 7);
    all.run(seconds(10));
    CHECK(all.converged());
    CHECK(all.at("p5").self().counter > accused.counter);
}

TEST_CASE("membership - cost of a process does not grow with the fleet") {
    constexpr std::size_t count = 250;
    constexpr std::size_t budget_bytes_per_second = 6 * 1024;
    fleet all(5);
    all.start_all(count);
    std::vector<held_revision> held;
    for (std::size_t index = 0; index < 5; ++index)
        held.push_back({{fleet::name_of(index), 1}, 7});
    for (std::size_t index = 0; index < count; ++index)
        all.at(fleet::name_of(index)).set_revisions(7, held);
    for (const std::size_t pause : {1U, 2U, 4U, 8U, 16U}) {
        all.run(seconds(pause));
        all.exchange_tables(17 * pause);
    }
    all.run(seconds(15));
    CHECK(all.converged());
    CHECK(all.largest_datagram <= 1400);
    all.sent_bytes.clear();
    all.run(seconds(20));
    std::size_t total = 0;
    for (const auto& [name, bytes] : all.sent_bytes)
        total += bytes;
    const std::size_t rate = total / count / 20;
    CAPTURE(rate);
    CHECK(rate < budget_bytes_per_second);
    WARN("bytes sent a second and process, 250 processes: " << rate);
}
