#include <ospreystage/weights/distribution.hpp>

#include <catch2/catch.hpp>
#include <tests/support/eventually.hpp>
#include <tests/support/local_node.hpp>
#include <tests/support/slow_link.hpp>
#include <tests/support/standin.hpp>
#include <tests/support/weights.hpp>

#include <map>
#include <memory>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

constexpr seconds completion_timeout{30};
constexpr std::uint32_t chunk_bytes = 64 * 1024;
constexpr std::uint64_t link_rate = 8 * 1024 * 1024;
constexpr std::uint64_t origin_rate = 2 * link_rate;
const weights_spec model{"model", 64 * chunk_bytes, chunk_bytes, 7};
const weights_spec large_model{"large", 256 * chunk_bytes, chunk_bytes, 9};
const weights_spec successor{"successor", 48 * chunk_bytes, chunk_bytes, 8};

/// Time within which a fleet that starts from nothing has to serve again.
constexpr seconds recovery_time{12};

/// Agents of three data centres in this process, with an origin in a process of
/// its own. The origin accepts `max_connections`, if that is not 0.
class agents {
  public:
    explicit agents(std::uint32_t count, std::size_t max_connections = 0)
        : origin({"origin", "--bytes-per-second", std::to_string(origin_rate)}),
          origin_link_(
              *parse_address(origin.url().substr(std::size("http://") - 1)),
              origin_rate, max_connections) {
        for (std::uint32_t index = 0; index < count; ++index)
            add("agent-" + std::to_string(index), index % 3);
    }

    void start() {
        for (auto& [name, node] : nodes_)
            node->core.post("distribution", [this, &node = *node] {
                service(node).set_members(members_);
            });
        for (auto& [name, node] : nodes_)
            node->start();
    }

    void request_versions(const std::vector<requested_version>& versions) {
        for (auto& [name, node] : nodes_)
            node->core.post("distribution", [&node = *node, versions] {
                service(node).request_versions(versions);
            });
    }

    void stop(const std::string& name) { nodes_.at(name)->stop(); }

    [[nodiscard]] bool complete(const digest& version,
                                const std::string& except = "") const {
        for (const auto& [name, node] : nodes_)
            if (name != except && !service(*node).complete(version))
                return false;
        return true;
    }

    [[nodiscard]] std::string bytes(const std::string& name,
                                    const weights_version& version) const {
        std::string content;
        const distribution& spread = service(*nodes_.at(name));
        const auto count =
            static_cast<std::uint32_t>(version.description.chunks.size());
        for (std::uint32_t index = 0; index < count; ++index)
            content += spread.read_chunk(version.version, index).value();
        return content;
    }

    [[nodiscard]] std::uint64_t corrupt_chunks() const {
        std::uint64_t total = 0;
        for (const auto& [name, node] : nodes_)
            total += node->core
                         .call("distribution",
                               [&node = *node] {
                                   return service(node).counters().corrupt;
                               })
                         .value_or(0);
        return total;
    }

    [[nodiscard]] double origin_copies(const digest& version) const {
        return origin.get("/control/stats").body["versions"][version]["copies"];
    }

    [[nodiscard]] digest publish(const weights_spec& spec) {
        return origin
            .post("/control/publish", {{"name", spec.name},
                                       {"bytes", spec.bytes},
                                       {"chunk_bytes", spec.chunk_bytes},
                                       {"seed", spec.seed}})
            .body["version"];
    }

    standin origin;

  private:
    static distribution& service(const local_node& node) {
        return node.core.find<distribution>("distribution");
    }

    void add(const std::string& name, std::uint32_t data_centre_index) {
        const std::uint16_t port = free_port();
        auto node = std::make_unique<local_node>(name, port, 1);
        settings& own = node->configuration;
        own.process.role = process_role::agent;
        own.process.data_centre = "dc-" + std::to_string(data_centre_index);
        own.origin.url = "http://" + to_string(origin_link_.endpoint());
        own.distribution.link_bytes_per_second = link_rate;
        node->link_layer->set_directory([this](const std::string& peer) {
            const auto found = ports_.find(peer);
            return found == ports_.end()
                       ? std::nullopt
                       : std::optional(address{"127.0.0.1", found->second});
        });
        node->core
            .add("distribution",
                 std::make_unique<distribution>(node->core, own))
            .start();
        member entry;
        entry.id = {name, 1};
        entry.role = process_role::agent;
        entry.data_centre = own.process.data_centre;
        members_.push_back(entry);
        ports_[name] = port;
        nodes_[name] = std::move(node);
    }

    testing::slow_link origin_link_;
    std::map<std::string, std::uint16_t> ports_;
    std::vector<member> members_;
    std::map<std::string, std::unique_ptr<local_node>> nodes_;
};

std::string all_bytes(const weights_spec& spec) {
    std::string content;
    for (std::uint32_t index = 0; index * chunk_bytes < spec.bytes; ++index)
        content += weights_chunk(spec, index);
    return content;
}

} // namespace

TEST_CASE(
    "distribution - every agent completes with one copy from the origin") {
    agents fleet(6);
    const digest version = fleet.publish(model);
    fleet.start();
    fleet.request_versions({{version, 1}});
    REQUIRE(eventually(completion_timeout,
                       [&] { return fleet.complete(version); }));
    CHECK(fleet.bytes("agent-4", describe(model)) == all_bytes(model));
    CHECK(fleet.origin_copies(version) <= 1.05);
}

TEST_CASE("distribution - corrupt chunks of the origin are fetched again") {
    agents fleet(4);
    const digest version = fleet.publish(model);
    fleet.origin.post("/control/faults", {{"corrupt_percent", 5}});
    fleet.start();
    fleet.request_versions({{version, 1}});
    REQUIRE(eventually(completion_timeout,
                       [&] { return fleet.complete(version); }));
    CHECK(fleet.corrupt_chunks() > 0);
    CHECK(fleet.bytes("agent-1", describe(model)) == all_bytes(model));
}

TEST_CASE("distribution - a replaced version is dropped at once") {
    agents fleet(6);
    const digest first = fleet.publish(large_model);
    const digest second = fleet.publish(successor);
    fleet.start();
    fleet.request_versions({{first, 1}});
    REQUIRE(eventually(completion_timeout,
                       [&] { return fleet.origin_copies(first) > 0.2; }));
    fleet.request_versions({{second, 1}});
    REQUIRE(
        eventually(completion_timeout, [&] { return fleet.complete(second); }));
    CHECK(fleet.origin_copies(first) < 1);
    CHECK_FALSE(fleet.complete(first));
    CHECK(fleet.bytes("agent-2", describe(successor)) == all_bytes(successor));
}

TEST_CASE("distribution - survivors complete when an agent fails") {
    agents fleet(6);
    const digest version = fleet.publish(model);
    fleet.start();
    fleet.request_versions({{version, 1}});
    REQUIRE(eventually(completion_timeout,
                       [&] { return fleet.origin_copies(version) > 0.3; }));
    fleet.stop("agent-3");
    CHECK(eventually(completion_timeout,
                     [&] { return fleet.complete(version, "agent-3"); }));
}

TEST_CASE(
    "distribution - completes without the origin after one copy was read") {
    agents fleet(6);
    const digest version = fleet.publish(model);
    fleet.start();
    fleet.request_versions({{version, 1}});
    REQUIRE(eventually(completion_timeout,
                       [&] { return fleet.origin_copies(version) >= 1; }));
    fleet.origin.post("/control/faults", {{"down", true}});
    CHECK(eventually(completion_timeout,
                     [&] { return fleet.complete(version); }));
}

TEST_CASE("distribution - agents that have read from the origin leave its "
          "connections to those that read the next version") {
    constexpr std::uint32_t count = 18;
    constexpr std::size_t max_connections = 8;
    agents fleet(count, max_connections);
    const std::vector<weights_spec> specs{
        model,
        successor,
        {"third", model.bytes, chunk_bytes, 3},
        {"last", model.bytes, chunk_bytes, 4}};
    fleet.start();
    std::uint32_t priority = 0;
    for (const weights_spec& spec : specs) {
        CAPTURE(spec.name);
        const digest version = fleet.publish(spec);
        fleet.request_versions({{version, ++priority}});
        CHECK(
            eventually(recovery_time, [&] { return fleet.complete(version); }));
    }
}
