#pragma once

#include "http.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>

namespace ospreystage::review {

/// The platform's store: keys, pages, watches, transactions and leases of the
/// published protocol.
///
/// Keeps a copy of itself every half second. A drill takes the store away for
/// a moment and returns it from a copy some seconds old; each answer carries
/// `Store-Era`.
class platform_store {
  public:
    explicit platform_store(const std::string& ip);
    ~platform_store();
    platform_store(const platform_store&) = delete;
    platform_store& operator=(const platform_store&) = delete;

    [[nodiscard]] endpoint local() const { return server_.local(); }

    // ---- Operator and workers ----------------------------------------------

    /// Writes a key; returns its revision, or nothing while the store is away.
    std::optional<std::int64_t> put(const std::string& key,
                                    const std::string& value);
    void remove(const std::string& key);
    [[nodiscard]] std::int64_t revision();

    // ---- Drill -------------------------------------------------------------

    /// Answers every call with 503 and cuts the watches.
    void go_away();
    /// Returns from the newest copy that is at least `age` old. Returns the
    /// age of that copy.
    milliseconds come_back(milliseconds age);

  private:
    struct item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t create_revision = 0;
        std::uint64_t lease = 0;
    };
    struct event {
        std::string key;
        std::int64_t revision = 0;
        std::optional<item> written; ///< Nothing: the key was removed.
    };
    struct lease_record {
        milliseconds lifetime{};
        instant ends;
    };
    struct contents {
        std::map<std::string, item> items;
        std::deque<event> history;
        std::map<std::uint64_t, lease_record> leases;
        std::int64_t revision = 0;
    };
    struct copy {
        instant at;
        contents state;
    };

    void answer(const http_request& request, http_reply& reply);
    void answer_key(const http_request& request, http_reply& reply);
    void answer_range(const http_request& request, http_reply& reply);
    void answer_watch(const http_request& request, http_reply& reply);
    void answer_write(const http_request& request, http_reply& reply);
    void answer_lease(const http_request& request, http_reply& reply);
    void keep_house();
    void set(const std::string& key, const std::string& value,
             std::uint64_t lease);
    void erase(const std::string& key);
    void end_lease(std::uint64_t id);
    [[nodiscard]] nlohmann::json encode(const std::string& key,
                                        const item& value) const;
    [[nodiscard]] field_list fields() const;

    std::mutex mutex_;
    std::condition_variable changed_;
    contents state_;
    std::deque<copy> copies_;
    std::uint64_t next_lease_ = 1;
    int era_ = 1;
    bool is_away_ = false;
    bool is_stopping_ = false;
    http_server server_;
    std::thread housekeeper_;
};

} // namespace ospreystage::review
