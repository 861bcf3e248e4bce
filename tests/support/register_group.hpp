#pragma once

#include <ospreystage/rollout/config_register.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ospreystage::support {

/// Returns a document of revision `number` as JSON.
[[nodiscard]] std::string json_of(revision number);

/// Returns a push of the document of revision `number`.
[[nodiscard]] document_push push_of(const std::string& sender, revision number);

/// Returns the revision in force; 0 if there is none.
[[nodiscard]] revision in_force(const config_register& node);

/// Group of registers that exchange messages without delay in simulated time.
class register_group {
  public:
    /// Starts a process, or restarts it without state.
    void add(const std::string& name, process_role role,
             const std::vector<std::string>& witnesses,
             std::uint64_t incarnation = 1);

    /// Sets the names of all processes as the peers of each.
    void update_peers();

    [[nodiscard]] config_register& at(const std::string& name) {
        return nodes_.at(name);
    }

    /// Delivers the messages that `actions` of `from` send, and all messages
    /// that result from them.
    void apply(const std::string& from,
               const config_register::actions& actions);

    /// Advances the time by 1 s, delivers every process's report to every other
    /// one, then ticks each.
    void gossip();

    /// Returns the number of processes that have `number` in force.
    [[nodiscard]] std::size_t count_in_force(revision number) const;

    /// Whether `add` calls `update_peers`.
    bool auto_update_peers = true;
    instant now = instant() + std::chrono::hours(1);
    /// Returns whether a message from the first process reaches the second.
    std::function<bool(const std::string&, const std::string&)> passes =
        [](const std::string&, const std::string&) { return true; };

  private:
    struct envelope {
        std::string from;
        std::string to;
        message value;
    };

    void post(const std::string& from, const config_register::actions& actions);
    void send_query(const std::string& from, const std::string& witness);
    void deliver(const envelope& next);
    [[nodiscard]] gossip_ack answer(const std::string& name,
                                    const gossip_ping& ping) const;

    std::map<std::string, config_register> nodes_;
    std::map<std::string, std::uint64_t> incarnations_;
    std::deque<envelope> queue_;
    std::uint64_t sequence_ = 0;
};

} // namespace ospreystage::support
