#pragma once

#include <tests/support/weights.hpp>

#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
} // namespace httplib

namespace ospreystage::support {

/// Serves the chunks of one version as an agent does to its engine.
class weights_server {
  public:
    /// Serves `spec` under its version.
    explicit weights_server(const weights_spec& spec);

    /// Serves `spec` as `version`, even if its digest differs.
    weights_server(const weights_spec& spec, const digest& version);
    ~weights_server();
    weights_server(const weights_server&) = delete;
    weights_server& operator=(const weights_server&) = delete;

    [[nodiscard]] const std::string& url() const noexcept { return url_; }

  private:
    std::unique_ptr<httplib::Server> server_;
    std::string url_;
    std::thread thread_;
};

} // namespace ospreystage::support
