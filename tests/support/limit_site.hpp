#pragma once

#include <ospreystage/serving/limit_exchange.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage::testing {

/// Each entry keeps to the whole limit by itself.
struct whole_limit_each {};
/// Each entry keeps to an equal part of the limit.
struct equal_parts {};
/// Each entry keeps to a part by its share of the requests, as all entries
/// last informed each other.
struct parts_by_demand {};
/// The entries ask for permits by `limit_exchange`.
struct permits {};

/// How the entries of a `limit_site` keep to a limit.
using limit_strategy =
    std::variant<whole_limit_each, equal_parts, parts_by_demand, permits>;

/// Simulates entries that send requests to one server with a limit, in virtual
/// time: datagrams are delayed and lost, lists of entries lag behind, entries
/// restart, and some do not hear of the site for a while.
class limit_site {
  public:
    struct options {
        limit_strategy strategy = permits{};
        int entries = 8;
        int regions = 3;
        double per_second = 1;   ///< The server's limit.
        double demand = 100;     ///< Requests a second at all entries together.
        double uneven_share = 0; ///< Part of the demand at the first entry.
        double loss = 0;         ///< Part of the datagrams.
        double slow_share = 0;   ///< Datagrams that take up to `slow_delay`.
        milliseconds slow_delay{200};
        int restarts = 0;
        int cuts = 0; ///< Times at which an entry hears nothing of the site.
        /// The server names its limit from `named_from` to `named_until`.
        milliseconds named_from{1000};
        milliseconds named_until{1'000'000};
        milliseconds duration{24'000};
        std::uint64_t seed = 1;
    };

    struct result {
        std::size_t max_arrivals = 0; ///< In one span, see `limit_window`.
        std::size_t arrivals = 0;     ///< While the limit binds.
        double served_share = 0; ///< Of what the limit allowed in that time.
        std::size_t datagrams = 0;
        double datagrams_per_second = 0;
        /// Requests to the server after it has ended its limit.
        std::size_t after_end = 0;
    };

    explicit limit_site(const options& configuration);
    ~limit_site();
    limit_site(const limit_site&) = delete;
    limit_site& operator=(const limit_site&) = delete;

    [[nodiscard]] result run();

  private:
    struct entry_state;
    struct arrival {
        instant at{};
        bool is_informed = false;
    };
    struct event {
        instant at{};
        std::uint64_t number = 0;
        std::function<void()> run;
    };
    struct is_later {
        bool operator()(const event& left, const event& right) const {
            return left.at != right.at ? left.at > right.at
                                       : left.number > right.number;
        }
    };

    void after(std::chrono::nanoseconds delay, std::function<void()> work);
    [[nodiscard]] double draw();
    /// Returns a random time up to `longest`.
    [[nodiscard]] microseconds part_of(microseconds longest);
    [[nodiscard]] microseconds transit();
    void start_entry(std::size_t index);
    void update_view(std::size_t index);
    void plan_faults();
    void restart(std::size_t index);
    void cut(std::size_t index);
    void next_request();
    void on_request(std::size_t index);
    [[nodiscard]] bool may_send_by_part(entry_state& entry, double part);
    void request_permit(std::size_t index);
    void on_decision(std::size_t index, const permit_decision& decision);
    void send(std::size_t index);
    void on_answer(std::size_t index, std::uint64_t life);
    void send_datagram(std::size_t from, std::size_t to, const message& value);
    void deliver(std::size_t from, std::size_t to, const message& value);
    void share_demand();

    options options_;
    std::mt19937_64 random_;
    instant now_{seconds(1000)};
    instant started_{now_};
    std::priority_queue<event, std::vector<event>, is_later> events_;
    std::uint64_t next_event_ = 0;
    std::map<std::string, site_entry> listed_;
    std::vector<std::unique_ptr<entry_state>> entries_;
    std::vector<arrival> arrivals_;
    std::optional<instant> first_named_;
    std::size_t datagrams_ = 0;
};

} // namespace ospreystage::testing
