#pragma once

#include <ospreystage/network/links.hpp>

#include <memory>
#include <string>
#include <thread>

namespace ospreystage::support {

/// Returns settings of a minimal process that listens on loopback.
[[nodiscard]] settings node_settings(const std::string& name,
                                     std::uint16_t peer_port);

/// Returns a TCP port that is free on loopback.
[[nodiscard]] std::uint16_t free_port();

/// Runs a kernel with `network` and `links` on its own thread.
///
/// Handlers must be registered through `link_layer` before `start`.
class local_node {
  public:
    local_node(const std::string& name, std::uint16_t port,
               std::uint64_t incarnation, std::string token = "token");
    ~local_node();
    local_node(const local_node&) = delete;
    local_node& operator=(const local_node&) = delete;

    /// Listens and starts the kernel's thread; throws if the address is in use.
    void start();

    /// Stops the kernel and joins its thread.
    void stop();

    kernel core;
    settings configuration;
    links* link_layer = nullptr;

  private:
    std::thread thread_;
};

} // namespace ospreystage::support
