#pragma once

#include "tests/support/running_kernel.hpp"

#include <ospreystage/http/api_server.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage::testing {

/// In-memory fake of the platform's store on its own thread. Implements keys,
/// pages, watches, transactions and leases of the published protocol.
class platform_store {
  public:
    platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    [[nodiscard]] address endpoint() const { return local_; }

    // ---- Contents ----------------------------------------------------------

    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    [[nodiscard]] std::optional<std::string> value(const std::string& key);

    /// Revokes all leases and removes their keys.
    void end_leases();

    // ---- Drills ------------------------------------------------------------

    /// Remembers the present contents as the copy of a drill.
    void keep_copy();

    /// Returns to the copy: later changes and leases are gone, their revisions
    /// and numbers are given out again, the first `others` to other processes,
    /// and the era rises by one.
    void return_to_copy(int others = 0);

    // ---- Faults ------------------------------------------------------------

    /// Answers every later call with `status`; 0 restores normal operation.
    void set_status(std::uint16_t status);

    /// Answers the next `count` calls whose path begins with `path` with
    /// `status`.
    void fail_next(const std::string& path, int count, std::uint16_t status);

    /// Answers calls with truncated JSON.
    void set_malformed(bool is_malformed);

    /// Discards the history: watches after an older revision get 410.
    void compact();

    /// Sets the maximum number of items per page.
    void set_page_size(std::size_t count);

    /// Returns the number of calls whose path begins with `path`, including
    /// refused ones.
    [[nodiscard]] int calls(const std::string& path);

  private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        std::optional<std::string> value;
    };
    struct pending_watch {
        exchange_id exchange{};
        std::string prefix;
        std::int64_t after = 0;
        instant until{};
    };
    struct planned_failure {
        std::string path;
        int count = 0;
        std::uint16_t status = 0;
    };

    using answer = std::optional<http_response>;

    template <typename Body>
    void change(Body body);
    void on_call(exchange_id exchange, const api_request& request,
                 const std::function<answer(const api_request&)>& handle);
    [[nodiscard]] std::optional<std::uint16_t>
    planned_status(const std::string& path);
    void set(const std::string& key, std::string value, std::uint64_t lease);
    void remove(const std::string& key);
    answer range(const api_request& request);
    answer transact(const api_request& request);
    answer grant(const api_request& request);
    answer renew_lease(const api_request& request);
    answer end_lease(const api_request& request);
    void watch(exchange_id exchange, const api_request& request);
    void answer_watches();
    [[nodiscard]] nlohmann::json events(const pending_watch& watch) const;

    /// Answers a call; every answer names the era.
    void respond(exchange_id exchange, http_response response);

    /// What a drill returns to.
    struct contents {
        std::map<std::string, item> items;
        std::vector<event> history;
        std::int64_t revision = 1;
        std::map<std::uint64_t, bool> leases;
        std::uint64_t next_lease = 1;
    };

    kernel core_;
    address local_;
    api_server server_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::int64_t revision_ = 1;
    std::int64_t compacted_ = 0;
    std::map<std::uint64_t, bool> leases_;
    std::uint64_t next_lease_ = 1;
    std::int64_t era_ = 1;
    contents copy_;
    std::vector<pending_watch> watches_;
    std::vector<planned_failure> failures_;
    std::map<std::string, int> calls_;
    std::uint16_t status_ = 0;
    bool is_malformed_ = false;
    std::size_t page_size_ = 500;
    running_kernel running_;
};

} // namespace ospreystage::testing
