#pragma once

#include <ospreystage/http/web_server.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage::testing {

/// How the store treats a client.
enum class store_fault : std::uint8_t {
    none,
    silence,  ///< Calls are never answered, also after the fault has ended.
    refusal,  ///< Calls are answered 503.
    reset,    ///< Connections are reset.
    slowness, ///< Calls are answered 300 ms later.
};

/// The platform's store on the kernel of its clients, for simulated time: keys,
/// watches, transactions and leases. Each client has an address of its own, so
/// that faults concern some of them only.
class simulated_store {
  public:
    simulated_store(kernel& core, std::size_t clients);

    [[nodiscard]] const address& endpoint(std::size_t client) const {
        return clients_[client]->local;
    }

    // ---- Contents ----------------------------------------------------------

    void put(const std::string& key, const std::string& value,
             std::uint64_t lease = 0);
    void erase(const std::string& key);

    // ---- Link --------------------------------------------------------------

    /// Lets answers cross one link after the other at this rate, as they do on
    /// the link of a region. They take no time unless this is called.
    void set_link_rate(std::uint64_t bytes_per_second);

    /// Returns the size of all answers so far.
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept {
        return sent_bytes_;
    }

    // ---- Faults ------------------------------------------------------------

    void set_fault(std::size_t client, store_fault fault);

    /// Answers no call that is open now; later ones are answered.
    void drop_open_calls(std::size_t client);

    /// Returns the number of calls of a client so far whose target begins with
    /// `target`.
    [[nodiscard]] std::size_t calls(std::size_t client,
                                    const std::string& target) const;

  private:
    struct client_record {
        client_record(kernel& core, web_server::callbacks handlers)
            : server(core, std::move(handlers)) {}
        address local;
        web_server server;
        store_fault fault = store_fault::none;
        /// Rises when the calls received before are not answered.
        std::uint64_t generation = 0;
        std::vector<std::string> targets; ///< Of the calls so far.
    };
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
    struct call_origin {
        std::size_t client = 0;
        exchange_id exchange{};
        std::uint64_t generation = 0;
    };
    struct pending_watch {
        call_origin origin;
        std::string prefix;
        std::int64_t after = 0;
        instant until{};
    };
    struct lease {
        milliseconds lifetime{};
        instant until{};
    };

    void on_request(std::size_t client, exchange_id exchange,
                    const http_request& request);
    void answer(const call_origin& origin, const http_request& request);
    void respond(const call_origin& origin, http_response response);
    /// Sends an answer in parts, as the link has room for them.
    void send_over_link(const call_origin& origin, http_response response);
    [[nodiscard]] http_response range(const std::string& prefix) const;
    [[nodiscard]] http_response transact(const std::string& body);
    [[nodiscard]] http_response keep(std::uint64_t id);
    void end_lease(std::uint64_t id);
    void expire_leases();
    [[nodiscard]] bool is_away() const;
    [[nodiscard]] std::optional<http_response>
    changes(const pending_watch& watch) const;
    void answer_watches();

    kernel& core_;
    std::vector<std::unique_ptr<client_record>> clients_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::int64_t revision_ = 1;
    std::uint64_t sent_bytes_ = 0;
    std::optional<std::uint64_t> link_rate_; ///< Bytes a second.
    instant link_free_at_{};
    std::map<std::uint64_t, lease> leases_;
    std::uint64_t next_lease_ = 1;
    std::vector<pending_watch> watches_;
};

} // namespace ospreystage::testing
