#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/http/server_limits.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Whether a request may be retried when an attempt's outcome is unknown.
enum class request_kind : std::uint8_t {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    streaming, ///< Event stream; as `non_idempotent` unless it may be resumed.
};

/// Share of a route's requests that a service gets.
struct route_target {
    std::string service;
    double weight = 1;
    friend bool operator==(const route_target&, const route_target&) = default;
};

/// Maps a host and path prefix to services, with limits and latency targets.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    std::vector<route_target> targets;
    milliseconds timeout{}; ///< For the complete response; 0 for none.
    /// For the response, or a stream's first event.
    milliseconds target_latency{};
    milliseconds target_gap{};  ///< For the pause between two events.
    std::uint32_t priority = 0; ///< 0 is the highest.
    /// Attempts of one request, without those known not to have run.
    std::uint32_t max_attempts = 1;
    bool is_public = false;    ///< Requires no key.
    bool is_resumable = false; ///< A stream may resume at another server.
    /// Regions whose servers may run its requests; empty for all.
    std::vector<std::string> regions;
    friend bool operator==(const route&, const route&) = default;
};

/// Performance model of an engine, from the service's description.
struct engine_profile {
    std::uint32_t slots = 1;           ///< Requests that run concurrently.
    double step_ms = 0;                ///< One token for every running request.
    double step_ms_per_request = 0;    ///< Added per running request.
    double step_ms_per_k_context = 0;  ///< Added per 1,000 tokens of context.
    double prefill_tokens_per_s = 0;   ///< Prompt tokens.
    double prefill_ms_per_m_pairs = 0; ///< Added per million token pairs.
    std::uint32_t steps_per_pass = 1;
    double typical_prompt_tokens = 0;
    double typical_answer_tokens = 0;
    std::uint32_t layers = 1;
    std::uint32_t chunks = 0; ///< Of a model's weights.
    std::uint32_t chunk_bytes = 0;
    milliseconds load_time{}; ///< To activate staged weights.
    std::vector<std::string> models;
    friend bool operator==(const engine_profile&,
                           const engine_profile&) = default;
};

/// A service that requests can be routed to.
struct service_description {
    std::string name;
    /// Connections to one server from all entries; 0 for no limit.
    std::uint32_t max_connections = 0;
    std::optional<engine_profile> engine;
    milliseconds cold_time{}; ///< For which a server is cold after its start.
    /// Requests that a cold server is to get, from all entries together; 0 for
    /// no limit.
    double cold_requests_per_s = 0;
    std::string origin; ///< Address, if this service is the weights' origin.
    friend bool operator==(const service_description&,
                           const service_description&) = default;
};

/// An organisation and the API keys of its callers.
struct organisation_keys {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Overrides the route's priority.
    /// Regions whose servers may run its requests; empty for all.
    std::vector<std::string> regions;
    friend bool operator==(const organisation_keys&,
                           const organisation_keys&) = default;
};

/// The operator's configuration of routes, services and organisations.
struct routing_configuration {
    std::uint64_t version = 0; ///< Increases with every change.
    std::vector<route> routes;
    std::vector<service_description> services;
    std::vector<organisation_keys> organisations;
    server_limits limits;
    friend bool operator==(const routing_configuration&,
                           const routing_configuration&) = default;
};

} // namespace ospreystage
