#pragma once

#include <ospreystage/core/token_bucket.hpp>
#include <ospreystage/requests/chunk_assignment.hpp>
#include <ospreystage/weights/chunk_bitmap.hpp>
#include <ospreystage/weights/manifest.hpp>
#include <ospreystage/weights/swarm_types.hpp>
#include <ospreystage/weights/upload_queue.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ospreystage {

/// Version that this agent must hold.
struct requested_version {
    digest version;
    std::uint32_t priority = 0; ///< Higher is fetched and served first.
    /// Time of its publication, if it was observed.
    std::optional<instant> published_at{};
    friend bool operator==(const requested_version&,
                           const requested_version&) = default;
};

/// Decides which chunks to fetch, when and from which source, and which to
/// serve.
///
/// Has no sockets, threads or clock: the current time is an argument, and
/// `tick` returns the actions to perform. The service that performs them
/// reports the outcome of every `fetch_chunk` by `on_fetched`, also after a
/// failure; a late report of a request that timed out is allowed.
///
///     swarm decisions(options, "agent-1");
///     decisions.set_members(members, now);
///     decisions.set_requested({{version, 1}}, now);
///     for (const swarm_action& action : decisions.tick(now))
///         std::visit(perform, action);
class swarm {
  public:
    // ---- Construction ------------------------------------------------------

    swarm(const swarm_options& options, std::string self);

    // ---- Observers ---------------------------------------------------------

    /// Returns true if every chunk of `version` is held.
    [[nodiscard]] bool complete(const digest& version) const;

    /// Returns the held chunks; empty if the manifest is not known yet.
    [[nodiscard]] chunk_bitmap held(const digest& version) const;

    /// Returns the latest time at which `tick` must be called again.
    [[nodiscard]] instant next_wake(instant now) const;

    [[nodiscard]] const swarm_counters& counters() const noexcept;
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Configuration -----------------------------------------------------

    /// Sets the live agents; this agent may or may not be among them.
    void set_members(std::vector<swarm_member> members, instant now);

    /// Sets the versions to hold; drops all state of other versions.
    void set_requested(const std::vector<requested_version>& requested,
                       instant now);

    /// Sets the share of the link that distribution may use.
    void set_budget(const link_budget& budget, instant now);

    // ---- Events ------------------------------------------------------------

    /// Adds a verified manifest; `held` are the chunks already stored.
    void on_manifest(const digest& version, const manifest& description,
                     const chunk_bitmap& held, instant now);

    /// Records that a source did not deliver the manifest.
    void on_manifest_failed(const digest& version, const chunk_source& source,
                            instant now);

    /// Records the chunks that a peer announced; `held` has size 0 if the peer
    /// has no manifest.
    void on_have(const std::string& peer, const digest& version,
                 const chunk_bitmap& held, instant now);

    /// Records the outcome of a request for a chunk.
    void on_fetched(const chunk_source& source, const digest& version,
                    std::uint32_t index, fetch_outcome outcome, instant now);

    /// Handles a peer's request for a chunk on `connection`.
    void on_request(const std::string& peer, std::uint64_t connection,
                    const digest& version, std::uint32_t index);

    /// Records that the connection to a peer ended; cancels the requests that
    /// are outstanding to it.
    void on_peer_down(const std::string& peer, instant now);

    /// Returns the actions that are due.
    [[nodiscard]] std::vector<swarm_action> tick(instant now);

  private:
    /// Index into `peers_`.
    enum class peer_id : std::uint32_t {};

    struct peer_record {
        std::string name;
        bool is_member = false;
        bool is_local = false;
        bool has_delivered = false; ///< A chunk, since its last failure.
        std::uint32_t outstanding = 0;
        std::uint32_t failure_count = 0;
        instant backoff_until{};     ///< After failures and refusals.
        instant unreachable_until{}; ///< After its connection ended.
        instant last_delivery{};
        instant last_received{};
        microseconds latency{}; ///< Smoothed response time.
    };

    /// State of a peer for one version.
    struct peer_view {
        chunk_bitmap held;
        bool active = false; ///< The peer announced the version.
        /// Own state last announced to the peer; 0: none, 1: without manifest,
        /// otherwise the number of held chunks plus 2.
        std::uint32_t announced_state = 0;
        instant last_announced{};

        [[nodiscard]] bool is_complete() const noexcept {
            return held.size() > 0 && held.is_full();
        }
    };

    struct chunk_record {
        std::uint16_t holders = 0; ///< Active peers that hold the chunk.
        std::uint16_t in_flight = 0;
        instant blocked_since{}; ///< Held by peers, but none can be asked.
    };

    struct version_record {
        digest id;
        std::uint32_t priority = 0;
        std::optional<manifest> description;
        chunk_bitmap held;
        std::vector<chunk_record> chunks;
        std::vector<std::uint32_t> order; ///< Random, differs by agent.
        std::vector<peer_view> views;     ///< Indexed by peer_id.
        std::vector<peer_id> active;
        std::optional<chunk_assignment> assignment;
        /// Readers that are replaced by backup readers.
        std::vector<std::string> silent_readers;
        std::vector<std::string> owners_to_notify;
        bool announce_now = false;
        /// The origin no longer offers the version; peers may still hold it.
        bool is_gone_from_origin = false;
        instant last_announcement{};
        instant requested_since{};
        /// Published so recently that no peer can have held it before this
        /// agent learnt of it.
        bool is_new = false;
        instant last_progress{}; ///< When the last chunk was stored.
        instant last_blocked_check{};
        /// Chunks that neither this agent nor a peer holds, and when peers last
        /// changed their number or a read of this agent last failed.
        std::uint32_t unheld_chunks = 0;
        instant unheld_since{};
        /// Source of the outstanding manifest request.
        std::optional<chunk_source> manifest_source;
        instant manifest_deadline{};
        instant manifest_retry_at{};
    };

    struct request_record {
        chunk_source source;
        digest version;
        std::uint32_t index = 0;
        std::uint32_t bytes = 0;
        instant started{};
        instant deadline{};
    };

    // Records (swarm.cpp)
    [[nodiscard]] version_record* find(const digest& version);
    [[nodiscard]] const version_record* find(const digest& version) const;
    [[nodiscard]] peer_id find_or_add_peer(const std::string& name);
    [[nodiscard]] peer_record& at(peer_id id);
    [[nodiscard]] const peer_record& at(peer_id id) const;
    [[nodiscard]] peer_view& view_of(version_record& version, peer_id id);
    void update_assignment(version_record& version);
    void drop_view(version_record& version, peer_id id);
    void count_holders(version_record& version, const chunk_bitmap& held,
                       int change);
    void store(version_record& version, std::uint32_t index,
               const chunk_source& source, instant now);
    void record_failure(peer_id id, instant now);
    [[nodiscard]] bool is_usable(peer_id id, instant now) const;

    // Requests (swarm_requests.cpp)
    [[nodiscard]] milliseconds stall_timeout(std::uint32_t bytes) const;
    [[nodiscard]] std::optional<request_record>
    remove_request(const chunk_source& source, const digest& version,
                   std::uint32_t index);
    void release(const request_record& request, bool refund);
    void expire_requests(instant now);
    /// Counts the time spent waiting for an unresponsive source as time without
    /// a source.
    void mark_blocked(const request_record& request);
    void start_request(version_record& version, std::uint32_t index,
                       chunk_source source, instant now);
    [[nodiscard]] token_bucket& download_bucket();
    [[nodiscard]] bool may_fetch_from_peers(const version_record& v) const;

    // Downloads (swarm_downloads.cpp)
    void plan_downloads(instant now);
    [[nodiscard]] bool plan_download(instant now);
    [[nodiscard]] bool plan_origin(version_record& version, instant now);
    [[nodiscard]] bool plan_peer(version_record& version, instant now);
    [[nodiscard]] bool plan_duplicate(version_record& version, instant now);
    [[nodiscard]] bool may_read_origin(const version_record& version,
                                       std::uint32_t index, instant now) const;
    [[nodiscard]] std::optional<peer_id>
    best_source(const version_record& version, std::uint32_t index,
                instant now) const;
    [[nodiscard]] bool has_trusted_holder(const version_record& version,
                                          std::uint32_t index, bool local_only,
                                          instant now) const;
    [[nodiscard]] bool may_fetch_remote(const version_record& version,
                                        std::uint32_t index, instant now) const;
    void update_blocked_chunks(version_record& version, instant now);
    void update_silent_readers(version_record& version, instant now);

    // Uploads and announcements (swarm_uploads.cpp)
    [[nodiscard]] bool plan_upload();
    void plan_manifest(version_record& version, instant now);
    void plan_announcements(version_record& version, instant now);
    [[nodiscard]] milliseconds
    announce_interval(const version_record& version) const;

    swarm_options options_;
    std::string self_;
    std::mt19937_64 random_;
    std::vector<swarm_member> members_;
    link_budget budget_;
    token_bucket upload_bucket_;
    token_bucket download_bucket_; ///< Unused if the directions share the link.
    std::uint64_t uploaded_bytes_ = 0;
    std::uint64_t downloaded_bytes_ = 0;
    std::vector<peer_record> peers_;
    absl::flat_hash_map<std::string, peer_id> peer_ids_;
    std::vector<version_record> versions_; ///< Highest priority first.
    std::vector<request_record> requests_;
    std::uint32_t peer_requests_ = 0;
    std::uint64_t peer_request_bytes_ = 0;
    std::uint32_t origin_requests_ = 0;
    instant origin_backoff_until_{};
    /// Reads of the origin that failed since one succeeded. Single probes
    /// replace the reads until one succeeds.
    std::uint32_t origin_failures_ = 0;
    upload_queue uploads_;
    std::vector<swarm_action> actions_;
    swarm_counters counters_;
};

} // namespace ospreystage
