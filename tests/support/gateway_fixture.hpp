#pragma once

#include <ospreystage/fleet/evacuations.hpp>
#include <ospreystage/serving/gateway.hpp>
#include <ospreystage/weights/published_versions.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage::testing {

/// A caller, one entry's gateway and the backend servers of a test, on one
/// kernel.
class gateway_fixture {
  public:
    /// How one of the caller's requests ended.
    struct outcome {
        call_end end = call_end::complete;
        http_response response;
        milliseconds duration{};
    };

    gateway_fixture();

    void add_route(request_kind kind, bool is_resumable,
                   milliseconds timeout = milliseconds(3000));
    /// Adds a route of event streams to a service of engines, whose responses
    /// may take longer than their version lasts.
    void add_engine_route(bool is_resumable,
                          request_kind kind = request_kind::streaming);
    /// Applies a configuration without routes, services and organisations.
    void drop_configuration();
    void add_servers(const std::vector<address>& endpoints);
    /// Lists servers by their addresses and data centres; the region of a data
    /// centre is what precedes the hyphen.
    void
    add_servers_in(const std::vector<std::pair<address, std::string>>& listed);
    /// Applies a newer configuration, in which the routes allow these regions.
    void allow_regions(const std::vector<std::string>& regions);
    /// Lists engines by their addresses and the versions that they hold.
    void
    add_engines(const std::vector<std::pair<address, std::uint64_t>>& engines);

    /// Lists entries of one region; this one is called edge-1.
    void add_entries(const std::vector<std::string>& names);

    outcome send_request(const std::string& method = "POST");

    /// Sends requests one after the other; may be called once.
    std::vector<outcome> send_requests(std::size_t count,
                                       const std::string& method = "POST");

    /// Sends one request after the other, each with more fields; may be called
    /// once.
    std::vector<outcome>
    send_requests(const std::vector<http_fields>& more_fields,
                  const std::string& method = "POST");

    /// Sends all requests together, each with more fields; may be called once.
    std::vector<outcome>
    send_at_once(const std::vector<http_fields>& more_fields,
                 const std::string& method = "POST");

    /// Returns a request of the usual caller on the added route.
    [[nodiscard]] static http_request
    make_request(const http_fields& more_fields, const std::string& body = "",
                 const std::string& method = "POST");
    /// Sends one request after the other; may be called once.
    std::vector<outcome> send_all(const std::vector<http_request>& requests);

    /// Returns the requests for permits sent so far.
    [[nodiscard]] std::vector<permit_request> permit_requests() const;

    /// Time after which no request may begin on an older version.
    static constexpr milliseconds version_limit{2500};
    /// The model of the engines.
    static constexpr const char* model = "m";

    /// Called while the server of a request is being chosen.
    std::function<void()> on_placing;
    std::vector<message> datagrams; ///< To other entries.
    kernel core;
    metrics gateway_metrics;
    route_table routes;
    backend_registry servers;
    backend_load load;
    entry_duties duties;
    backend_availability availability;
    published_versions versions{version_limit};
    evacuations evacuated;
    limit_exchange limits;
    prompt_quarantine quarantine{{}, 1};
    web_client client;
    gateway tested_gateway;
    web_server front_server;
    address front_address;

  private:
    /// Runs the kernel until there are `count` results.
    void run_until_answered(const std::vector<outcome>& results,
                            std::size_t count);
    void add_route(route added_route, std::optional<engine_profile> engine);
};

/// Returns a response with `Content-Length`; `fields` are whole header lines.
std::string make_response(int status, const std::string& fields,
                          const std::string& body);

/// Returns the events `first` to `last`, as a server sends them.
std::string event_text(int first, int last);

/// Returns a chunked stream of the events `first` to `last`, with the last
/// chunk if it `is_complete`.
std::string make_event_stream(int first, int last, bool is_complete);

} // namespace ospreystage::testing
