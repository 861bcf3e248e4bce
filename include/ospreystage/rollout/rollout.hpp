#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Kind of back end behind a service.
enum class service_kind {
    engine, ///< Model engine; agents load its weights.
    plain,  ///< Ordinary HTTP service; requests are proxied.
};

/// Named destination of requests and the VMs that serve it.
struct service {
    std::string name;
    service_kind kind = service_kind::engine;
    std::vector<std::string> vms; ///< Names of the backend_server VMs.
    /// Routes (plain services) or request kinds that run at most once.
    std::vector<std::string> non_idempotent_routes;

    friend bool operator==(const service&, const service&) = default;
};

/// Share of an organisation's traffic that a deployment receives.
struct traffic_rule {
    std::string organisation;  ///< Name, or `*` for all organisations.
    std::uint32_t percent = 0; ///< 0 to 100.

    friend bool operator==(const traffic_rule&, const traffic_rule&) = default;
};

/// Model or adapter version that is to be live for a service.
struct deployment {
    std::string name;           ///< Unique, e.g. `desk-7b-v2`.
    std::string service;        ///< Service whose requests it serves.
    std::string base;           ///< Base deployment of an adapter, or empty.
    digest version;             ///< SHA-256 digest of the manifest.
    std::uint32_t priority = 0; ///< Higher is distributed first.
    std::vector<std::string> vms;
    std::vector<traffic_rule> traffic;

    friend bool operator==(const deployment&, const deployment&) = default;
};

/// Customer and its agreed limits.
struct organisation {
    std::string name;
    std::uint32_t weight = 1;              ///< Relative share under contention.
    std::uint32_t requests_per_second = 0; ///< Admission rate; 0: unlimited.
    std::uint32_t burst = 0; ///< Requests admitted above the rate.

    friend bool operator==(const organisation&, const organisation&) = default;
};

/// Service level that a request selects by name.
struct request_class {
    std::string name;
    milliseconds first_token{}; ///< Target time to the first token.
    milliseconds deadline{};    ///< Time to the complete response.
    std::uint32_t priority = 0; ///< Higher runs first in the engine.

    friend bool operator==(const request_class&,
                           const request_class&) = default;
};

/// Cluster-wide document that operators accept and every VM puts in force.
struct rollout_document {
    revision number = 0;
    revision based_on = 0;    ///< Revision from which it was edited.
    std::string operation_id; ///< Unique per acceptance; resolves lost answers.
    std::string accepted_by;  ///< Operator's name.
    std::string accepted_at;  ///< RFC 3339 time, informational only.
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

/// Maximum size of a document in bytes of JSON.
inline constexpr std::size_t max_document_bytes = 512 * 1024;

/// Parses a document; fails with `too_large` above `max_document_bytes`, and
/// with `malformed` on invalid JSON, unknown fields and wrong types.
[[nodiscard]] leaf::result<rollout_document>
parse_rollout(const std::string& json);

/// Encodes a document in its canonical form (sorted keys, two spaces).
[[nodiscard]] std::string to_json_text(const rollout_document& document);

/// Validation problem of a document.
struct rollout_problem {
    std::string field; ///< JSON pointer, e.g. `/deployments/0/version`.
    std::string message;

    friend bool operator==(const rollout_problem&,
                           const rollout_problem&) = default;
};

/// Returns the problems of a document's names, references, percentages, digests
/// and limits; empty if the document can be accepted.
[[nodiscard]] std::vector<rollout_problem>
validate(const rollout_document& document);

/// A field that differs between two documents.
///
/// List items are addressed by name (a traffic rule by its organisation), not
/// by index: `/deployments/desk-7b-v2/priority`.
struct rollout_change {
    std::string field;  ///< JSON pointer with names in place of indices.
    std::string before; ///< JSON text; empty if absent.
    std::string after;  ///< JSON text; empty if absent.

    friend bool operator==(const rollout_change&,
                           const rollout_change&) = default;
};

/// Returns the fields that differ, except revision and acceptance fields.
[[nodiscard]] std::vector<rollout_change> diff(const rollout_document& before,
                                               const rollout_document& after);

} // namespace ospreystage
