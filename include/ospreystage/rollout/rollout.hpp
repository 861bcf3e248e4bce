#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Back-end kind of a service.
enum class service_kind {
    engine, ///< Model engine that serves weights which the agents load.
    plain,  ///< Ordinary HTTP service that is passed through.
};

/// A named destination of requests and the VMs that serve it.
struct service {
    std::string name;
    service_kind kind = service_kind::engine;
    std::vector<std::string> vms; ///< Names of the backend_server VMs.
    /// Routes (plain) or request kinds that must run at most once.
    std::vector<std::string> non_idempotent_routes;

    friend bool operator==(const service&, const service&) = default;
};

/// Share of an organisation's traffic that a deployment may receive.
struct traffic_rule {
    std::string organisation;  ///< Name, or `*` for every organisation.
    std::uint32_t percent = 0; ///< 0 to 100.

    friend bool operator==(const traffic_rule&, const traffic_rule&) = default;
};

/// A model or adapter version that should be live for a service.
struct deployment {
    std::string name;           ///< Unique, e.g. `desk-7b-v2`.
    std::string service;        ///< Service whose requests it answers.
    std::string base;           ///< Deployment an adapter needs, or empty.
    digest version;             ///< Digest of the manifest.
    std::uint32_t priority = 0; ///< Higher spreads first.
    std::vector<std::string> vms;
    std::vector<traffic_rule> traffic;

    friend bool operator==(const deployment&, const deployment&) = default;
};

/// A customer and the limits agreed with it.
struct organisation {
    std::string name;
    std::uint32_t weight = 1;              ///< Share under contention.
    std::uint32_t requests_per_second = 0; ///< Admission rate; 0: unlimited.
    std::uint32_t burst = 0;               ///< Requests above the rate.

    friend bool operator==(const organisation&, const organisation&) = default;
};

/// Service level that a request names.
struct request_class {
    std::string name;
    milliseconds first_token{}; ///< Target time to the first token.
    milliseconds deadline{};    ///< Time to the whole answer.
    std::uint32_t priority = 0; ///< Higher runs first in the engine.

    friend bool operator==(const request_class&,
                           const request_class&) = default;
};

/// The one document that operators accept and every VM puts in force.
struct rollout_document {
    revision number = 0;
    revision based_on = 0;    ///< Revision that the edit was made on.
    std::string operation_id; ///< Unique per acceptance; resolves lost answers.
    std::string accepted_by;  ///< Operator's name.
    std::string accepted_at;  ///< RFC 3339 time, for people only.
    std::vector<service> services;
    std::vector<deployment> deployments;
    std::vector<organisation> organisations;
    std::vector<request_class> classes;

    friend bool operator==(const rollout_document&,
                           const rollout_document&) = default;

    [[nodiscard]] const service* find_service(const std::string& name) const;
    [[nodiscard]] const organisation*
    find_organisation(const std::string& name) const;
    [[nodiscard]] const request_class*
    find_class(const std::string& name) const;
    [[nodiscard]] const deployment*
    find_deployment(const std::string& name) const;
};

/// Largest accepted document in bytes of JSON.
inline constexpr std::size_t max_document_bytes = 512 * 1024;

/// Decodes a document; unknown fields and wrong types are errors.
[[nodiscard]] leaf::result<rollout_document>
parse_rollout(const std::string& json);

/// Encodes a document in its canonical form (sorted keys, two spaces).
[[nodiscard]] std::string to_json_text(const rollout_document& document);

/// A reason why a document cannot be accepted.
struct rollout_problem {
    std::string field; ///< JSON pointer, e.g. `/deployments/0/version`.
    std::string message;

    friend bool operator==(const rollout_problem&,
                           const rollout_problem&) = default;
};

/// Checks names, references, percentages and digests of a document.
[[nodiscard]] std::vector<rollout_problem>
validate(const rollout_document& document);

/// A field that differs between two documents.
///
/// Items of lists are addressed by their name (a traffic rule by its
/// organisation), not by their position: `/deployments/desk-7b-v2/priority`.
struct rollout_change {
    std::string field;  ///< JSON pointer with names in place of positions.
    std::string before; ///< JSON text, empty if absent.
    std::string after;  ///< JSON text, empty if absent.

    friend bool operator==(const rollout_change&,
                           const rollout_change&) = default;
};

/// Lists the fields that differ, without revision and acceptance fields.
[[nodiscard]] std::vector<rollout_change> diff(const rollout_document& before,
                                               const rollout_document& after);

} // namespace ospreystage
