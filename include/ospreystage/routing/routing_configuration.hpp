#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/http/server_limits.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// What may be repeated when the outcome of an attempt is not known.
enum class request_kind : std::uint8_t {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    streaming, ///< A series of events; as `unsafe` unless it may be resumed.
};

/// Share of a route's requests that a service gets.
struct route_target {
    std::string service;
    double weight = 1;
    friend bool operator==(const route_target&, const route_target&) = default;
};

/// Where requests of a host and path prefix go, and what they may expect.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    request_kind kind = request_kind::non_idempotent;
    std::vector<route_target> targets;
    milliseconds timeout{}; ///< Longest time to a whole answer; 0: none.
    milliseconds
        target_latency{};      ///< To the answer, or to a stream's first event.
    milliseconds target_gap{}; ///< Longest pause between two events.
    std::uint32_t priority = 0;     ///< 0 is the most urgent.
    std::uint32_t max_attempts = 1; ///< Backend servers one request may reach.
    bool is_public = false;         ///< Needs no key.
    bool is_resumable = false;      ///< A stream may go on at another server.
    friend bool operator==(const route&, const route&) = default;
};

/// How fast an engine works, from the service's description.
struct engine_profile {
    std::uint32_t slots = 1;           ///< Requests that run at once.
    double step_ms = 0;                ///< One token of every running request.
    double step_ms_per_request = 0;    ///< Added by each running request.
    double step_ms_per_k_context = 0;  ///< Added by 1,000 tokens of context.
    double prefill_tokens_per_s = 0;   ///< Prompt tokens.
    double prefill_ms_per_m_pairs = 0; ///< Added by a million pairs of tokens.
    std::uint32_t steps_per_pass = 1;
    double typical_prompt_tokens = 0;
    double typical_answer_tokens = 0;
    std::uint32_t layers = 1;
    std::uint32_t chunks = 0; ///< Of a model's weights.
    std::uint32_t chunk_bytes = 0;
    milliseconds load_time{}; ///< To put staged weights into use.
    std::vector<std::string> models;
    friend bool operator==(const engine_profile&,
                           const engine_profile&) = default;
};

/// A service that requests can be routed to.
struct service_description {
    std::string name;
    std::uint32_t max_connections = 0; ///< To one server, of all callers.
    std::optional<engine_profile> engine;
    std::string origin; ///< Address of the weights' origin, if this is it.
    friend bool operator==(const service_description&,
                           const service_description&) = default;
};

/// An organisation and the keys that its callers send.
struct organisation_keys {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; ///< Goes before the route's.
    friend bool operator==(const organisation_keys&,
                           const organisation_keys&) = default;
};

/// The operator's configuration of routes, services and organisations.
struct routing_configuration {
    std::uint64_t version = 0; ///< Grows with every change.
    std::vector<route> routes;
    std::vector<service_description> services;
    std::vector<organisation_keys> organisations;
    server_limits limits;
    friend bool operator==(const routing_configuration&,
                           const routing_configuration&) = default;
};

} // namespace ospreystage
