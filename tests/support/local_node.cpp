#include <tests/support/free_ports.hpp>
#include <tests/support/local_node.hpp>

#include <stdexcept>

namespace ospreystage::support {

settings node_settings(const std::string& name, std::uint16_t peer_port) {
    settings out;
    out.process.name = name;
    out.process.vm = name;
    out.listen.peer = {"127.0.0.1", peer_port};
    out.cluster.token = "token";
    out.cluster.heartbeat_interval = milliseconds(50);
    out.cluster.silence_timeout = milliseconds(300);
    return out;
}

std::uint16_t free_port() {
    const std::vector<std::uint16_t> ports = free_ports(1);
    if (ports.empty())
        throw std::runtime_error("no free port on 127.0.0.1");
    return ports.front();
}

local_node::local_node(const std::string& name, std::uint16_t port,
                       std::uint64_t incarnation, std::string token)
    : configuration(node_settings(name, port)) {
    configuration.cluster.token = std::move(token);
    core.add("network", std::make_unique<network>(core));
    link_layer = &core.add(
        "links", std::make_unique<links>(core, configuration,
                                         process_id{name, incarnation}));
}

local_node::~local_node() {
    stop();
}

void local_node::start() {
    error failure;
    const auto started = value_or_error(
        [this]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(link_layer->start());
            return true;
        },
        failure);
    if (!started)
        throw std::runtime_error(to_string(failure));
    thread_ = std::thread([this] { core.run(); });
}

void local_node::stop() {
    if (!thread_.joinable())
        return;
    core.stop();
    thread_.join();
}

} // namespace ospreystage::support
