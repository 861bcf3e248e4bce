#pragma once

#include "child_process.hpp"

#include <ospreystage/core/address.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace ospreystage::testing {

/// Entry processes of one data centre, each at a loopback address of its own.
class entry_group {
  public:
    /// Starts `count` entries that use the platform's store at `store`.
    entry_group(const address& store, int count);
    ~entry_group();
    entry_group(const entry_group&) = delete;
    entry_group& operator=(const entry_group&) = delete;

    [[nodiscard]] std::uint16_t internal_port() const { return ports_[2]; }
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }
    /// Returns the address at which an entry accepts callers' requests.
    [[nodiscard]] const address& front(std::size_t index) const {
        return entries_[index].front;
    }
    [[nodiscard]] support::child_process& process(std::size_t index) {
        return entries_[index].process;
    }

    /// Returns the value of an entry's metric, or -1 if it has none.
    [[nodiscard]] double metric(std::size_t index,
                                const std::string& name) const;

    /// Waits until each entry is ready to serve; returns false after `limit`.
    [[nodiscard]] bool await_ready(milliseconds limit) const;

    /// Waits until `version` of the configuration is in force at every entry;
    /// returns false after `limit`.
    [[nodiscard]] bool await_version(double version, milliseconds limit) const;

    /// Starts an entry again that has ended.
    void restart(std::size_t index);

  private:
    struct entry {
        address front;
        address ready;
        std::string settings_file;
        support::child_process process;
    };

    [[nodiscard]] support::child_process
    start_process(const std::string& settings_file);
    void start(const address& store, int number);

    std::vector<std::uint16_t> ports_;
    std::filesystem::path folder_;
    std::vector<entry> entries_;
};

} // namespace ospreystage::testing
