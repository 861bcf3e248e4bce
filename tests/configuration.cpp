#include <ospreystage/rollout/configuration.hpp>

#include <catch2/catch.hpp>
#include <tests/support/free_ports.hpp>
#include <tests/support/local_node.hpp>
#include <tests/support/standin.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

constexpr milliseconds poll_interval{20};

/// A process with `links`, `membership` and `configuration` only.
class control_node {
  public:
    control_node(const settings& values, std::uint64_t incarnation)
        : node_(values.process.name, values.listen.peer.port, incarnation) {
        node_.configuration = values;
        members_ =
            &node_.core.add("membership", std::make_unique<membership_service>(
                                              node_.core, node_.configuration,
                                              *node_.link_layer));
        configuration_ = &node_.core.add(
            "configuration",
            std::make_unique<configuration>(node_.core, node_.configuration,
                                            *node_.link_layer, *members_));
        node_.start();
    }

    template <typename Body>
    auto call(Body body) {
        return node_.core.call("test", body).value();
    }

    revision in_force() {
        return call([this] {
            const auto document = configuration_->document();
            return document ? document->number : revision{0};
        });
    }

    bool recovered() {
        return call([this] {
            return configuration_->dump().at("recovered").get<bool>();
        });
    }

    bool watching() {
        return call([this] {
            return configuration_->dump().at("watching").get<bool>();
        });
    }

    std::size_t count_alive(const std::string& name) {
        return call([this, name] {
            std::size_t seen = 0;
            for (const auto role : {process_role::entry, process_role::agent})
                for (const member& item : members_->alive(role))
                    seen += item.id.name == name ? 1U : 0U;
            return seen;
        });
    }

    std::size_t size() {
        return call([this] { return members_->members().size(); });
    }

    void set_leaving() {
        call([this] {
            members_->set_leaving();
            return true;
        });
    }

    acceptance_result accept(revision based_on, const std::string& id) {
        acceptance_request request;
        request.based_on = based_on;
        request.operator_name = "asha";
        request.operation_id = id;
        auto result = std::make_shared<std::promise<acceptance_result>>();
        call([this, request, result] {
            configuration_->accept(request,
                                   [result](const acceptance_result& value) {
                                       result->set_value(value);
                                   });
            return true;
        });
        return result->get_future().get();
    }

  private:
    local_node node_;
    membership_service* members_ = nullptr;
    configuration* configuration_ = nullptr;
};

/// Cluster of three entries, which are the witnesses, and two agents.
class control_plane {
  public:
    control_plane() : kv({"kv"}), vms({"vms", "--lag-ms", "0"}) {
        const auto ports = free_ports(5);
        for (std::size_t index = 0; index < 3; ++index)
            witnesses_.push_back({"e" + std::to_string(index + 1),
                                  {"127.0.0.1", ports.at(index)}});
        for (const witness_settings& witness : witnesses_)
            add_settings(witness.name, process_role::entry, witness.peer);
        add_settings("a1", process_role::agent, {"127.0.0.1", ports.at(3)});
        add_settings("a2", process_role::agent, {"127.0.0.1", ports.at(4)});
        for (const auto& [name, values] : values_)
            start(name);
    }

    void start(const std::string& name) {
        nodes_.erase(name);
        nodes_[name] =
            std::make_unique<control_node>(values_.at(name), ++incarnation_);
    }

    void stop(const std::string& name) { nodes_.erase(name); }

    control_node& at(const std::string& name) { return *nodes_.at(name); }

    /// Returns the number of processes that watch the platform's service.
    std::size_t watchers() {
        std::size_t count = 0;
        for (auto& [name, node] : nodes_)
            count += node->watching() ? 1U : 0U;
        return count;
    }

    bool all(const std::function<bool(control_node&)>& predicate) {
        return std::all_of(nodes_.begin(), nodes_.end(),
                           [&](auto& item) { return predicate(*item.second); });
    }

    /// Waits until `predicate` is true for every process; returns false if
    /// `timeout` passes first.
    bool await(const std::function<bool(control_node&)>& predicate,
               milliseconds timeout) {
        const instant deadline = steady::now() + timeout;
        while (!all(predicate)) {
            if (steady::now() > deadline)
                return false;
            std::this_thread::sleep_for(poll_interval);
        }
        return true;
    }

    bool await_in_force(revision number, milliseconds timeout) {
        return await(
            [number](control_node& node) { return node.in_force() == number; },
            timeout);
    }

    bool await_ready() {
        return await(
            [](control_node& node) {
                return node.size() == 5 && node.recovered();
            },
            seconds(10));
    }

    standin kv;
    standin vms;

  private:
    void add_settings(const std::string& name, process_role role,
                      const address& peer) {
        settings values = node_settings(name, peer.port);
        values.process.role = role;
        values.process.data_centre = "kolkata";
        values.cluster.heartbeat_interval = milliseconds(200);
        values.cluster.silence_timeout = milliseconds(2000);
        values.cluster.gossip_interval = milliseconds(200);
        values.cluster.witnesses = witnesses_;
        values.platform.kv_url = kv.url();
        values.platform.vm_list_url = vms.url();
        values.platform.call_timeout = milliseconds(500);
        values.platform.vm_list_interval = milliseconds(200);
        values_[name] = values;
    }

    std::vector<witness_settings> witnesses_;
    std::map<std::string, settings> values_;
    std::map<std::string, std::unique_ptr<control_node>> nodes_;
    std::uint64_t incarnation_ = 0;
};

bool is_accepted(const acceptance_result& result, revision number) {
    const auto* success = std::get_if<accepted>(&result);
    return success != nullptr && success->number == number;
}

} // namespace

TEST_CASE("configuration - an accepted document is in force everywhere within "
          "seconds although the platform goes down right after the write") {
    control_plane system;
    REQUIRE(system.await_ready());
    CHECK(is_accepted(system.at("e2").accept(0, "op-1"), 1));
    system.kv.post("/control/faults", {{"down", true}});
    CHECK(system.await_in_force(1, seconds(5)));
}

TEST_CASE("configuration - a lost answer of the platform is resolved") {
    control_plane system;
    REQUIRE(system.await_ready());
    REQUIRE(is_accepted(system.at("e2").accept(0, "op-1"), 1));
    // Two writes: the copy to the history key, then the document itself.
    system.kv.post("/control/faults", {{"lose_answers", 2}});
    CHECK(is_accepted(system.at("e3").accept(1, "op-2"), 2));
    CHECK(system.await_in_force(2, seconds(5)));
}

TEST_CASE(
    "configuration - processes recover after a restart without state while "
    "the platform is down") {
    control_plane system;
    REQUIRE(system.await_ready());
    REQUIRE(is_accepted(system.at("e1").accept(0, "op-1"), 1));
    REQUIRE(system.await_in_force(1, seconds(5)));
    system.kv.post("/control/faults", {{"down", true}});
    system.start("a1");
    CHECK(system.await_in_force(1, seconds(10)));
    system.start("e3");
    CHECK(system.await_in_force(1, seconds(10)));
    system.start("e1");
    CHECK(system.await_in_force(1, seconds(10)));
}

TEST_CASE("configuration - a platform that does not answer delays neither "
          "start nor gossip") {
    control_plane system;
    REQUIRE(system.await_ready());
    REQUIRE(is_accepted(system.at("e1").accept(0, "op-1"), 1));
    REQUIRE(system.await_in_force(1, seconds(5)));
    system.kv.post("/control/faults", {{"swallow", true}});
    system.start("a2");
    CHECK(system.await_in_force(1, seconds(10)));
    CHECK(std::holds_alternative<rejected>(
        system.at("e1").accept(1, "op-2"))); // the first read times out
    // Ends the calls that are still pending in the stand-in.
    system.kv.post("/control/faults", {{"down", true}});
}

TEST_CASE("configuration - a change in the platform is detected by the watch") {
    control_plane system;
    REQUIRE(system.await_ready());
    rollout_document document;
    document.number = 7;
    document.operation_id = "op-7";
    // As if written by an entry that crashed before it pushed the document.
    const kv_client client(system.kv.url(), milliseconds(500));
    error failure;
    REQUIRE(value_or_error(
        [&] {
            return client.write_if(current_rollout_key, 0,
                                   to_json_text(document));
        },
        failure));
    CHECK(system.await_in_force(7, seconds(4)));
}

TEST_CASE(
    "configuration - a member that leaves by signal or by VM list gets no "
    "new work after 3 s") {
    control_plane system;
    REQUIRE(system.await_ready());
    system.at("e2").set_leaving();
    CHECK(system.await(
        [](control_node& node) { return node.count_alive("e2") == 0; },
        seconds(3)));
    system.vms.post("/control/vm", {{"vm", "a1"}, {"state", "leaving"}});
    CHECK(system.await(
        [](control_node& node) { return node.count_alive("a1") == 0; },
        seconds(3)));
    CHECK(system.await(
        [](control_node& node) { return node.count_alive("a2") == 1; },
        seconds(1)));
}

TEST_CASE("configuration - the first entries of a data centre watch, and "
          "another one takes over from a stopped one") {
    control_plane system;
    REQUIRE(system.await_ready());
    const auto only_two = [&](control_node&) {
        return system.watchers() == 2 && !system.at("a1").watching();
    };
    CHECK(system.await(only_two, seconds(5)));
    CHECK(system.at("e1").watching());
    CHECK_FALSE(system.at("e3").watching());
    system.stop("e1");
    CHECK(
        system.await([&](control_node&) { return system.at("e3").watching(); },
                     seconds(10)));
    CHECK(system.watchers() == 2);
}
