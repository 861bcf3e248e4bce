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

/// Returns a push of that document.
[[nodiscard]] document_push push_of(const std::string& sender, revision number);

/// Returns the revision in force; 0 if there is none.
[[nodiscard]] revision in_force(const config_register& node);

/// Registers whose messages are delivered at once, in simulated time.
class register_group {
  public:
    /// Starts a process, or starts it anew with nothing.
    void add(const std::string& name, process_role role,
             const std::vector<std::string>& witnesses,
             std::uint64_t incarnation = 1);

    /// Tells every process the names of all.
    void update_peers();

    [[nodiscard]] config_register& at(const std::string& name) {
        return nodes_.at(name);
    }

    /// Delivers what `actions` of `from` send, and what follows from that.
    void apply(const std::string& from,
               const config_register::actions& actions);

    /// Every process hears the datagrams of every other one, then ticks.
    void gossip();

    /// Counts the processes that have `number` in force.
    [[nodiscard]] std::size_t count_in_force(revision number) const;

    bool auto_update_peers =
        true; ///< `add` tells every process the names of all.
    instant now = instant() + std::chrono::hours(1);
    /// Returns whether a message from the first to the second arrives.
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
