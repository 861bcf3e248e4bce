#include <ospreystage/core/log.hpp>
#include <ospreystage/network/traffic_log.hpp>

#include <string>

namespace ospreystage {

void traffic_log::write() {
    nlohmann::json sent = nlohmann::json::object();
    nlohmann::json received = nlohmann::json::object();
    for (const message_traffic& total : source_.traffic()) {
        message_traffic& before = written_[total.name];
        const std::string name(total.name);
        if (total.sent > before.sent)
            sent[name] = total.sent - before.sent;
        if (total.received > before.received)
            received[name] = total.received - before.received;
        before = total;
    }
    if (!sent.empty() || !received.empty())
        log_event(log_level::info, "peer_traffic",
                  {{"sent_bytes", sent}, {"received_bytes", received}});
}

} // namespace ospreystage
