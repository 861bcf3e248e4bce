#pragma once

#include <tests/support/child_process.hpp>
#include <tests/support/http_json.hpp>

#include <string>
#include <vector>

namespace ospreystage::support {

/// One stand-in as a process of its own, ready when constructed.
class standin {
  public:
    /// Starts the stand-in `arguments[0]` with options; throws
    /// `std::runtime_error` if it does not become ready.
    explicit standin(std::vector<std::string> arguments);

    [[nodiscard]] const std::string& url() const noexcept { return url_; }
    [[nodiscard]] child_process& process() noexcept { return process_; }

    /// Calls POST `path` with a JSON body.
    http_answer post(const std::string& path, const nlohmann::json& body,
                     const http_headers& headers = {});

    /// Calls GET `path`.
    [[nodiscard]] http_answer get(const std::string& path) const;

  private:
    std::string url_;
    child_process process_;
};

} // namespace ospreystage::support
