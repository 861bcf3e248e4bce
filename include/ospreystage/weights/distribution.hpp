#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/core/worker_pool.hpp>
#include <ospreystage/network/links.hpp>
#include <ospreystage/weights/chunk_store.hpp>
#include <ospreystage/weights/origin_client.hpp>
#include <ospreystage/weights/swarm.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage {

/// Service that downloads the requested versions to this VM and serves them to
/// peers.
///
/// Connects the decision logic of `swarm` to `links`, the origin and
/// `chunk_store`. Register it as "distribution" after "network" and "links",
/// then call `start` before `links::start`. From then on, on the kernel thread:
/// `set_members` whenever the table of members changes, `request_versions`
/// whenever the document in force changes, and `set_request_bandwidth` whenever
/// the bandwidth used by requests changes. Peers are addressed by process name
/// through the directory of `links`. `manifest_text` and `read_chunk` serve the
/// HTTP endpoint from which the engine pulls, on any thread.
///
///     auto& spread = core.add("distribution",
///         std::make_unique<distribution>(core, configuration));
///     spread.on_complete([](const digest& version) { … });
///     spread.start();
class distribution {
  public:
    /// Chunks by index.
    using chunk_list = std::vector<std::pair<std::uint32_t, std::string>>;
    using completion_handler = std::function<void(const digest&)>;

    // ---- Construction ------------------------------------------------------

    distribution(kernel& core, const settings& configuration);
    /// Uses the paths of `layout` on the origin; `set_origin` sets its address.
    distribution(kernel& core, const settings& configuration,
                 origin_layout layout);
    ~distribution();
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;

    /// Subscribes to the messages of peers and starts the timer.
    void start();

    /// Calls `handler` on the kernel thread when a version becomes complete.
    void on_complete(completion_handler handler);

    // ---- Modifiers (kernel thread) -----------------------------------------

    /// Sets the address of the origin for later reads.
    void set_origin(const std::string& url);

    /// Supplies a manifest from another source for the next `request_versions`.
    ///
    /// `chunks` are chunks that are already available; those that do not match
    /// the manifest are dropped. If the manifest replaces a corrupt one, the
    /// chunks held of `replaced` that match it are kept.
    void add_manifest(const digest& version, const std::string& json,
                      chunk_list chunks, const digest& replaced = {});

    /// Sets the members; agents in the state alive or suspect take part.
    void set_members(const std::vector<member>& members);

    /// Sets the versions to hold; drops all others immediately.
    ///
    /// Versions that are not valid digests are ignored.
    void request_versions(const std::vector<requested_version>& versions);

    /// Reserves `bytes_per_second` of the link for requests; distribution
    /// always keeps at least an eighth of the link.
    void set_request_bandwidth(std::uint64_t bytes_per_second);

    // ---- Observers (kernel thread) -----------------------------------------

    [[nodiscard]] const swarm_counters& counters() const noexcept;
    /// Returns the number of chunks of a version that are held.
    [[nodiscard]] std::uint32_t held_chunks(const digest& version) const;
    /// Returns the number of open connections to the origin.
    [[nodiscard]] std::size_t origin_connections() const;
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Observers (any thread) --------------------------------------------

    /// Returns true if every chunk of `version` is held and verified.
    [[nodiscard]] bool complete(const digest& version) const;

    /// Returns the manifest of a held version, or `not_found`.
    [[nodiscard]] leaf::result<std::string>
    manifest_text(const digest& version) const;

    /// Returns a verified chunk, or `not_found`.
    [[nodiscard]] leaf::result<std::string>
    read_chunk(const digest& version, std::uint32_t index) const;

  private:
    /// Manifest with chunks that are already available.
    struct known_manifest {
        std::string json;
        chunk_list chunks;
        digest replaced; ///< Empty: none.
    };

    void subscribe();
    void on_have(const link_peer& peer, const chunk_have& have);
    void on_manifest_request(const link_peer& peer,
                             const manifest_request& request);
    void on_chunk_data(const link_peer& peer, const chunk_data& data);
    void on_peer_down(const std::string& peer);

    void update();
    void schedule(instant now);
    void report_complete();

    void perform(const fetch_chunk& action);
    void perform(const fetch_manifest& action);
    void perform(const announce_chunks& action);
    void perform(const serve_chunk& action);
    void perform(const refuse_chunk& action);
    void perform(const reconnect_peer& action);

    void read_origin_chunk(const digest& version, std::uint32_t index,
                           bool is_probe);
    void read_origin_manifest(const digest& version);
    void accept_known(const digest& version, const known_manifest& known);
    [[nodiscard]] bool is_replaced(const digest& version) const;
    /// Stores the chunks held of `replaced` that match the manifest of
    /// `version`.
    void keep_chunks(const digest& version, const manifest& description,
                     const digest& replaced);
    void accept_manifest(const chunk_source& source, const digest& version,
                         const std::string& json);
    void check_and_store(const chunk_source& source, const digest& version,
                         std::uint32_t index, const std::string& data);
    void finish_fetch(const chunk_source& source, const digest& version,
                      std::uint32_t index, fetch_outcome outcome);

    kernel& core_;
    const settings& configuration_;
    links& links_;
    network& network_;
    swarm decisions_;
    chunk_store store_;
    std::vector<completion_handler> handlers_;
    std::vector<requested_version> requested_;
    absl::flat_hash_set<digest> reported_complete_;
    absl::flat_hash_map<digest, known_manifest> known_manifests_;
    std::optional<timer_id> timer_;
    instant wake_{};
    /// Uploads dropped because the peer read too slowly.
    std::uint64_t unsent_uploads_ = 0;
    origin_client origin_;
    worker_pool origin_pool_;
    worker_pool check_pool_;
};

} // namespace ospreystage
