#pragma once

#include "platform/site_watch.hpp"
#include "simulated_store.hpp"

#include <ospreystage/fleet/site_feed.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ospreystage::testing {

/// Entries of one region with the platform's store, in simulated time: the
/// product's own watch, feed, clients and servers on one kernel.
///
/// Records when each entry has put a configuration in force and when it has
/// stopped to use a server.
class simulated_site {
  public:
    struct options {
        std::size_t entries = 8;
        std::size_t late_entries = 0; ///< Of these, started by `start`.
        /// Time in which configurations and departures take effect.
        milliseconds bound{2000};
        milliseconds contact{3000};
    };

    explicit simulated_site(const options& site);
    ~simulated_site();
    simulated_site(const simulated_site&) = delete;
    simulated_site& operator=(const simulated_site&) = delete;

    [[nodiscard]] simulated_store& store() noexcept { return *store_; }
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

    /// Returns the indexes of the entries in the order in which they read the
    /// store for their region.
    [[nodiscard]] std::vector<std::size_t> by_rank() const;

    void run_for(milliseconds duration);

    /// Starts an entry; those that are not late have started.
    void start(std::size_t index);

    // ---- Changes -----------------------------------------------------------

    /// `padding` is a number of bytes by which it is larger.
    void put_configuration(std::uint64_t version, std::size_t padding = 0);
    void put_server(const std::string& id, bool is_draining = false);
    void remove_server(const std::string& id) {
        store_->erase("servers/" + id);
    }

    // ---- Observations ------------------------------------------------------

    /// Returns the time from `since` at which the last of the entries had the
    /// configuration in force; the maximum if one of them does not.
    [[nodiscard]] milliseconds configured_after(std::uint64_t version,
                                                instant since) const;
    /// The same for a server that no entry uses any more.
    [[nodiscard]] milliseconds unused_after(const std::string& id,
                                            instant since) const;
    [[nodiscard]] instant now() const noexcept { return clock_.now(); }

  private:
    struct entry_record;

    void observe();

    options options_;
    simulated_clock clock_;
    kernel core_;
    std::unique_ptr<simulated_store> store_;
    std::uint16_t feed_port_ = 0;
    std::vector<std::unique_ptr<entry_record>> entries_;
    /// By version or id, when each entry was first seen to comply.
    std::map<std::uint64_t, std::map<std::size_t, instant>> configured_;
    std::map<std::string, std::map<std::size_t, instant>> unused_;
};

} // namespace ospreystage::testing
