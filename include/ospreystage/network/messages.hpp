#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/ids.hpp>
#include <ospreystage/core/prompt_part.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ospreystage {

/// Version of the protocol between the system's own processes.
inline constexpr std::uint16_t protocol_version = 1;

/// Generates the cereal `serialize` member from the fields in wire order.
#define OSPREYSTAGE_FIELDS(...)                                                \
    template <typename Archive>                                                \
    void serialize(Archive& archive) {                                         \
        archive(__VA_ARGS__);                                                  \
    }

// ---- Connections -----------------------------------------------------------

/// Role of a process.
enum class process_role : std::uint8_t { entry, agent };

/// First message on every connection, from the side that opened it.
struct hello {
    std::string token; ///< Cluster token from the settings.
    process_id sender;
    process_role role = process_role::entry;
    /// Counts the sender's connections to this peer; orders received on a
    /// connection with a lower number than the latest are ignored.
    std::uint64_t epoch = 0;
    OSPREYSTAGE_FIELDS(token, sender, role, epoch)
};

/// Answer to `hello`.
struct hello_reply {
    process_id sender;
    /// Attempts of the peer's incarnation that this process has started; every
    /// other attempt sent in earlier epochs is sealed and will never run.
    std::vector<attempt_id> started;
    process_role role = process_role::entry;
    OSPREYSTAGE_FIELDS(sender, started, role)
};

/// Application heartbeat, sent in both directions on every connection.
struct heartbeat {
    std::uint64_t sequence = 0;
    OSPREYSTAGE_FIELDS(sequence)
};

// ---- Requests: entry to agent ---------------------------------------------

/// Orders an agent to run one attempt.
struct run_order {
    attempt_id attempt;
    process_id agent; ///< Intended incarnation; others refuse.
    std::string organisation;
    std::string service;
    std::string request_class;
    std::string method; ///< HTTP method for plain services.
    std::string path;   ///< HTTP path on the back end.
    std::string content_type;
    std::string body;
    digest version; ///< Engine services: required version.
    std::uint32_t priority = 0;
    std::uint32_t deadline_ms = 0; ///< Remaining time when sent.
    std::uint32_t skip_tokens = 0; ///< Tokens the caller already has (resume).
    bool stream = false;
    bool non_idempotent = false;
    std::string idempotency_key;
    OSPREYSTAGE_FIELDS(attempt, agent, organisation, service, request_class,
                       method, path, content_type, body, version, priority,
                       deadline_ms, skip_tokens, stream, non_idempotent,
                       idempotency_key)
};

/// Reason for which an agent refused an attempt.
enum class refusal : std::uint8_t {
    wrong_incarnation,
    version_not_held,
    overloaded,
    leaving,
    expired,
    stale_epoch,
    sealed,
    back_end_unreachable,
    not_in_force,
};

/// The attempt did not run and never will, because the agent sealed it.
struct run_refused {
    attempt_id attempt;
    refusal reason = refusal::overloaded;
    std::uint32_t retry_after_ms = 0;
    OSPREYSTAGE_FIELDS(attempt, reason, retry_after_ms)
};

/// First part of an answer.
struct answer_begin {
    attempt_id attempt;
    std::uint16_t status = 0; ///< HTTP status of the back end.
    std::string content_type;
    digest version; ///< Answering version; empty for plain services.
    OSPREYSTAGE_FIELDS(attempt, status, content_type, version)
};

/// Next part of an answer; `index` counts from 0 without gaps.
struct answer_part {
    attempt_id attempt;
    std::uint32_t index = 0;
    std::string data;
    OSPREYSTAGE_FIELDS(attempt, index, data)
};

/// The answer is complete: `parts` parts were sent.
struct answer_end {
    attempt_id attempt;
    std::uint32_t parts = 0;
    OSPREYSTAGE_FIELDS(attempt, parts)
};

/// The attempt started and its outcome is unknown.
struct run_failed {
    attempt_id attempt;
    std::string detail;
    OSPREYSTAGE_FIELDS(attempt, detail)
};

/// Asks the agent to seal an attempt that has not started.
///
/// Answered by `run_refused` (sealed) or `seal_failed` (it has started).
struct seal_order {
    attempt_id attempt;
    OSPREYSTAGE_FIELDS(attempt)
};

/// The attempt could not be sealed because it has started.
struct seal_failed {
    attempt_id attempt;
    OSPREYSTAGE_FIELDS(attempt)
};

/// The caller disconnected: the agent may stop generating.
struct cancel_order {
    attempt_id attempt;
    OSPREYSTAGE_FIELDS(attempt)
};

/// Load and cache contents of one backend_server, as last seen by its agent.
struct load_report {
    process_id agent;
    std::string service;
    std::uint32_t running = 0;  ///< Attempts in the engine.
    std::uint32_t queued = 0;   ///< Attempts waiting at the agent.
    std::uint32_t capacity = 0; ///< Attempts the engine runs at once.
    std::uint32_t age_ms = 0;   ///< Age of the engine's own metrics.
    bool leaving = false;
    std::vector<digest> versions;        ///< Versions that may be requested.
    std::vector<std::uint64_t> prefixes; ///< Hashes of cached prompt prefixes.
    OSPREYSTAGE_FIELDS(agent, service, running, queued, capacity, age_ms,
                       leaving, versions, prefixes)
};

// ---- Claims of idempotency keys: entry to witness --------------------------

/// Key of a non-idempotent request, scoped to its organisation.
struct claim_key {
    std::string organisation;
    std::string key;
    OSPREYSTAGE_FIELDS(organisation, key)
    // NOLINTNEXTLINE(modernize-use-nullptr): see process_id.
    friend auto operator<=>(const claim_key&, const claim_key&) = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const claim_key& id) {
        return Hash::combine(std::move(state), id.organisation, id.key);
    }
};

/// Record of a key that a witness stores.
struct claim_record {
    claim_key key;
    digest body;        ///< Digest of the request; a reuse with another body
                        ///< is refused.
    attempt_id attempt; ///< The only attempt that may run.
    std::uint32_t age_ms = 0;
    OSPREYSTAGE_FIELDS(key, body, attempt, age_ms)
};

/// Asks a witness to record `record.attempt` as the owner of its key.
struct claim_request {
    claim_record record;
    process_id witness; ///< Intended incarnation.
    OSPREYSTAGE_FIELDS(record, witness)
};

/// Vote of a witness: the record that it now holds for the key.
struct claim_reply {
    claim_record held;
    attempt_id asked; ///< Attempt of the request that this answers.
    process_id witness;
    bool recovering = false; ///< The witness may not vote yet.
    /// Newest incarnation of each other witness whose recovery this one has
    /// answered; votes of older incarnations do not count.
    std::vector<process_id> known;
    OSPREYSTAGE_FIELDS(held, asked, witness, recovering, known)
};

/// Releases a claim whose attempt was never dispatched.
struct claim_release {
    claim_key key;
    attempt_id attempt;
    OSPREYSTAGE_FIELDS(key, attempt)
};

/// Requests, for a restarted witness, the records that it shares with another.
struct recover_request {
    process_id witness;
    OSPREYSTAGE_FIELDS(witness)
};

/// Answer to `recover_request`, in pages.
struct recover_reply {
    process_id sender;
    process_id witness; ///< Incarnation of the requester.
    bool recovering = false;
    bool last = true;
    std::vector<claim_record> records;
    OSPREYSTAGE_FIELDS(sender, witness, recovering, last, records)
};

// ---- Configuration and membership ------------------------------------------

/// Highest revision that a witness holds, as last reported.
struct held_revision {
    process_id witness;
    std::uint64_t number = 0;
    OSPREYSTAGE_FIELDS(witness, number)
    friend bool operator==(const held_revision&,
                           const held_revision&) = default;
};

/// State of a member as seen by its peers.
enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// Record of one process of the fleet.
struct member {
    process_id id;
    process_role role = process_role::entry;
    std::string vm;
    std::string data_centre;
    std::string region;
    address peer; ///< Address of the peer protocol (TCP and UDP).
    address http; ///< Address of the HTTP interface.
    member_state state = member_state::alive;
    bool listed_leaving = false; ///< Listed as leaving by the platform.
    std::uint64_t in_force = 0;  ///< Revision in force at the member.
    std::uint32_t counter = 0;   ///< Raised by the member on each change.
    OSPREYSTAGE_FIELDS(id, role, vm, data_centre, region, peer, http, state,
                       listed_leaving, in_force, counter)
    friend bool operator==(const member&, const member&) = default;
};

/// Probe of the failure detector; piggybacks changed member records.
struct gossip_ping {
    process_id sender;
    std::uint64_t sequence = 0;
    process_id on_behalf_of;    ///< Set for an indirect probe.
    std::string target;         ///< Member to probe indirectly, or empty.
    std::uint64_t document = 0; ///< Highest revision the sender has.
    std::vector<held_revision> held;
    std::vector<member> members;
    OSPREYSTAGE_FIELDS(sender, sequence, on_behalf_of, target, document, held,
                       members)
};

/// Answer to `gossip_ping`.
struct gossip_ack {
    process_id sender;
    std::uint64_t sequence = 0;
    std::string target; ///< Member whose answer this relays, or empty.
    std::uint64_t document = 0;
    std::vector<held_revision> held;
    std::vector<member> members;
    OSPREYSTAGE_FIELDS(sender, sequence, target, document, held, members)
};

/// Requests a peer's complete view of members, held revisions and document.
struct sync_request {
    process_id sender;
    std::uint64_t document = 0; ///< Highest revision that the sender has.
    OSPREYSTAGE_FIELDS(sender, document)
};

/// Answer to `sync_request`.
struct sync_reply {
    process_id sender;
    bool recovered = false; ///< False: started empty and has not caught up.
    std::uint64_t document = 0;
    std::string json; ///< Document; empty if the requester is up to date.
    std::vector<held_revision> held;
    std::vector<member> members;
    OSPREYSTAGE_FIELDS(sender, recovered, document, json, held, members)
};

/// Pushes a newer document to a peer without waiting for a request.
struct document_push {
    process_id sender;
    std::uint64_t document = 0;
    std::string json;
    std::vector<held_revision> held;
    OSPREYSTAGE_FIELDS(sender, document, json, held)
};

// ---- Distribution of weights: agent to agent -------------------------------

/// Announces to a peer which chunks of a version the sender has.
struct chunk_have {
    process_id sender;
    digest version;
    std::uint32_t chunks = 0;         ///< Number of chunks, 0: no manifest yet.
    std::vector<std::uint8_t> bitmap; ///< Bit i of byte i/8; empty if all.
    bool complete = false;
    OSPREYSTAGE_FIELDS(sender, version, chunks, bitmap, complete)
};

/// Requests the manifest of a version.
struct manifest_request {
    digest version;
    OSPREYSTAGE_FIELDS(version)
};

/// Answer to `manifest_request`; `json` is empty if the sender has none.
struct manifest_reply {
    digest version;
    std::string json;
    OSPREYSTAGE_FIELDS(version, json)
};

/// Requests one chunk.
struct chunk_request {
    digest version;
    std::uint32_t index = 0;
    OSPREYSTAGE_FIELDS(version, index)
};

/// One chunk; empty data means that the sender does not have it.
struct chunk_data {
    digest version;
    std::uint32_t index = 0;
    std::string data;
    OSPREYSTAGE_FIELDS(version, index, data)
};

// ---- Datagrams between entries and the agents beside engines ---------------

/// State of the engine beside an agent, reported to entries several times per
/// second.
struct engine_report {
    address engine; ///< Address at which the engine accepts requests.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t version = 0; ///< Complete version in use; 0: none.
    bool is_loading = false;   ///< Loading, or about to load.
    OSPREYSTAGE_FIELDS(engine, running, queued, version, is_loading)
};

/// Notifies an entry that a request was sent to an engine.
///
/// Sent for each attempt, so it is small: the address is in binary form.
struct attempt_notice {
    std::uint32_t host = 0; ///< IPv4 address of the engine, in host order.
    std::uint16_t port = 0;
    std::uint32_t prefill_us = 0; ///< Prefill time of its prompt.
    /// The first entry of the region that deals with the engine passes it on.
    bool is_passed_on = false;
    OSPREYSTAGE_FIELDS(host, port, prefill_us, is_passed_on)
    friend bool operator==(const attempt_notice&,
                           const attempt_notice&) = default;
};

/// An agent of a service, as an entry knows it.
struct agent_location {
    std::string host; ///< IP address, which is also the agent's name.
    std::string data_centre;
    OSPREYSTAGE_FIELDS(host, data_centre)
    friend bool operator==(const agent_location&,
                           const agent_location&) = default;
};

/// Data that an agent needs to bring its engine to the requested version.
struct weights_assignment {
    std::string service;
    std::string model;
    std::uint64_t version = 0; ///< Requested version.
    /// Time since the version was published, if the sender observed it.
    std::uint32_t published_ms_ago = 0;
    bool is_observed = false;
    address origin;
    std::uint32_t chunks = 0;
    std::uint32_t chunk_bytes = 0;
    std::uint32_t layers = 0;
    std::vector<agent_location> agents;
    OSPREYSTAGE_FIELDS(service, model, version, published_ms_ago, is_observed,
                       origin, chunks, chunk_bytes, layers, agents)
};

/// Subscribes the sender to the engine reports of an agent of `service`.
struct report_subscription {
    std::string service;
    OSPREYSTAGE_FIELDS(service)
};

/// Reports and notices that an entry passes on to the others of its region,
/// collected over a short time.
struct load_digest {
    std::vector<engine_report> reports;
    std::vector<attempt_notice> notices;
    OSPREYSTAGE_FIELDS(reports, notices)
};

// ---- Datagrams: condition of backend servers -------------------------------

/// What an agent has found out about the pace and the start of its server.
struct server_condition {
    static constexpr std::uint32_t usual_pace_percent = 100;
    static constexpr std::uint32_t unknown_start = UINT32_MAX;

    address server; ///< Address at which the server accepts requests.
    /// Time that work takes there in relation to the usual one.
    std::uint32_t pace_percent = usual_pace_percent;
    /// Time since the server was seen to start, or `unknown_start`.
    std::uint32_t started_ms_ago = unknown_start;
    OSPREYSTAGE_FIELDS(server, pace_percent, started_ms_ago)
    friend bool operator==(const server_condition&,
                           const server_condition&) = default;
};

/// Conditions that an entry passes on to the others of its region.
struct condition_digest {
    std::vector<server_condition> conditions;
    OSPREYSTAGE_FIELDS(conditions)
};

/// A connection to a server has ended as if the server had: it may have started
/// again. Sent to all entries, since a server without an agent is seen to start
/// only by those that had a request there.
struct start_suspicion {
    std::string server;
    std::int64_t started_unix_ms = 0; ///< Of the start that is known.
    OSPREYSTAGE_FIELDS(server, started_unix_ms)
};

// ---- Datagrams between entries: demand of organisations --------------------

/// Requests of one organisation for one service at one entry, by the hashes of
/// their names; the lowest three bits of `organisation` hold the rank of
/// urgency. `received` and `served` count units of work.
struct demand_item {
    std::uint64_t service = 0;
    std::uint64_t organisation = 0;
    std::uint32_t received = 0;
    std::uint32_t served = 0;
    OSPREYSTAGE_FIELDS(service, organisation, received, served)
    friend bool operator==(const demand_item&, const demand_item&) = default;
};

/// Demand that an entry has seen in the last `interval_ms`.
struct demand_digest {
    std::string entry;
    std::uint64_t sequence = 0; ///< Rises with each digest of a process.
    std::uint32_t interval_ms = 0;
    std::vector<demand_item> items;
    OSPREYSTAGE_FIELDS(entry, sequence, interval_ms, items)
};

// ---- Datagrams between entries: limits of backend servers ------------------

/// Reports what an answer of a backend server stated about its limit.
struct limit_report {
    std::string server;
    bool is_named = false; ///< False: the answer named no limit.
    double per_second = 0; ///< Requests a second from all entries together.
    OSPREYSTAGE_FIELDS(server, is_named, per_second)
};

/// Asks for the permit to send one request to a server that has named a limit.
struct permit_request {
    std::string server;
    std::uint64_t sequence = 0; ///< Of the asking entry, echoed in the reply.
    double per_second = 0;      ///< Limit that the asking entry knows.
    OSPREYSTAGE_FIELDS(server, sequence, per_second)
};

/// The same for a server that counts as cold, whether or not it has named a
/// limit too.
struct cold_permit_request {
    std::string server;
    std::uint64_t sequence = 0; ///< Of the asking entry, echoed in the reply.
    double per_second = 0;      ///< Rate that the asking entry knows.
    OSPREYSTAGE_FIELDS(server, sequence, per_second)
};

enum class permit_verdict : std::uint8_t {
    granted,
    denied,    ///< At the limit, or the receiver issues no permits for it.
    unlimited, ///< The limit has ended.
};

/// Answer to `permit_request` and `cold_permit_request`.
struct permit_reply {
    std::string server;
    std::uint64_t sequence = 0;
    permit_verdict verdict = permit_verdict::denied;
    std::uint32_t wait_ms = 0; ///< Denied: time until the next permit.
    OSPREYSTAGE_FIELDS(server, sequence, verdict, wait_ms)
};

// ---- Datagrams between entries: prompts that crash engines -----------------

/// A request whose answer an engine had just begun when it ended.
struct crash_suspect {
    std::uint64_t request = 0; ///< Hash of the request's id.
    std::vector<prompt_part> parts;
    OSPREYSTAGE_FIELDS(request, parts)
};

/// What tells one crash of a server from another, and from a coincidence.
struct crash_context {
    std::uint64_t service = 0; ///< Hash of the server's service; 0: unknown.
    /// Start of the server's process, as listed when the suspects were sent
    /// there; 0: unknown.
    std::int64_t started_unix_ms = 0;
    /// Time for which the suspects had been at the server.
    std::uint32_t exposure_ms = 0;
    OSPREYSTAGE_FIELDS(service, started_unix_ms, exposure_ms)
};

/// An engine that ended, and what the sender had just begun there.
struct engine_crash {
    std::uint64_t server = 0; ///< Hash of the server's id.
    std::uint32_t age_ms = 0;
    std::vector<crash_suspect> suspects;
    crash_context context{}; ///< Part of a `crash_report` only.
    OSPREYSTAGE_FIELDS(server, age_ms, suspects)
};

/// A part on which an engine has written an answer.
struct sound_part {
    prompt_part part = 0;
    std::uint32_t age_ms = 0; ///< Time since such an answer last began.
    OSPREYSTAGE_FIELDS(part, age_ms)
};

/// A part that no request may have.
struct quarantined_part {
    prompt_part part = 0;
    std::uint32_t age_ms = 0; ///< Time since it was quarantined.
    std::uint32_t probes = 0; ///< Requests with it that were let through since.
    OSPREYSTAGE_FIELDS(part, age_ms, probes)
};

/// What an entry knows of the parts of prompts. Its crashes are sent in a
/// `crash_report`; the release before sends them in this message.
struct prompt_report {
    std::vector<engine_crash> crashes;
    std::vector<sound_part> sound;
    std::vector<quarantined_part> quarantined;
    OSPREYSTAGE_FIELDS(crashes, sound, quarantined)
};

/// Crashes with their contexts, which follow the crashes on the wire.
struct crash_report {
    std::vector<engine_crash> crashes;
    template <typename Archive>
    void serialize(Archive& archive) {
        archive(crashes);
        for (engine_crash& crash : crashes)
            archive(crash.context);
    }
};

#undef OSPREYSTAGE_FIELDS

/// Every message of the peer protocol.
///
/// The order is the wire format: new alternatives go to the end.
using message = std::variant<
    hello, hello_reply, heartbeat, run_order, run_refused, answer_begin,
    answer_part, answer_end, run_failed, seal_order, seal_failed, cancel_order,
    load_report, claim_request, claim_reply, claim_release, recover_request,
    recover_reply, gossip_ping, gossip_ack, sync_request, sync_reply,
    document_push, chunk_have, manifest_request, manifest_reply, chunk_request,
    chunk_data, engine_report, weights_assignment, attempt_notice,
    report_subscription, load_digest, limit_report, permit_request,
    permit_reply, prompt_report, crash_report, server_condition,
    condition_digest, demand_digest, cold_permit_request, start_suspicion>;

/// Names of the alternatives of `message`, in their order.
inline constexpr std::array<std::string_view, std::variant_size_v<message>>
    message_names = {"hello",
                     "hello_reply",
                     "heartbeat",
                     "run_order",
                     "run_refused",
                     "answer_begin",
                     "answer_part",
                     "answer_end",
                     "run_failed",
                     "seal_order",
                     "seal_failed",
                     "cancel_order",
                     "load_report",
                     "claim_request",
                     "claim_reply",
                     "claim_release",
                     "recover_request",
                     "recover_reply",
                     "gossip_ping",
                     "gossip_ack",
                     "sync_request",
                     "sync_reply",
                     "document_push",
                     "chunk_have",
                     "manifest_request",
                     "manifest_reply",
                     "chunk_request",
                     "chunk_data",
                     "engine_report",
                     "weights_assignment",
                     "attempt_notice",
                     "report_subscription",
                     "load_digest",
                     "limit_report",
                     "permit_request",
                     "permit_reply",
                     "prompt_report",
                     "crash_report",
                     "server_condition",
                     "condition_digest",
                     "demand_digest",
                     "cold_permit_request",
                     "start_suspicion"};

} // namespace ospreystage
