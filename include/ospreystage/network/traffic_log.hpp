#pragma once

#include <ospreystage/network/network.hpp>

#include <map>
#include <string_view>

namespace ospreystage {

/// Logs how many bytes of each type of peer message were sent and received
/// since the previous line.
class traffic_log {
  public:
    explicit traffic_log(const network& source) : source_(source) {}

    /// Writes one line, or none if there was no traffic.
    void write();

  private:
    const network& source_;
    std::map<std::string_view, message_traffic> written_;
};

} // namespace ospreystage
