#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace ospreystage {

/// Decides when the manifest of a version is read from the origin again.
///
/// A manifest may have been corrupted on its way from the origin or a peer. No
/// source is trusted beyond its evidence: a manifest is doubted when chunks
/// keep differing from it or when a peer has another one, until every chunk of
/// the version is held. Reads from the origin are spaced with an exponential
/// backoff, because single corrupt chunks and corrupt pushes are normal.
class manifest_review {
  public:
    struct options {
        /// Corrupt chunks after which the manifest is doubted.
        std::uint64_t max_corrupt_chunks = 3;
        /// Time from the first read from the origin to the next; doubles with
        /// each further one.
        milliseconds first_interval{500};
        milliseconds max_interval{8000};
    };

    enum class source : std::uint8_t { origin, peer };

    /// Manifest that is to be read again.
    struct doubt {
        std::uint64_t version = 0;
        std::string reason;
    };

    explicit manifest_review(const options& limits) : limits_(limits) {}
    manifest_review() : manifest_review(options{}) {}

    // ---- Events ------------------------------------------------------------

    /// Records that a manifest of `version` has been accepted; `corrupt_chunks`
    /// is the total number of corrupt chunks that the process has received.
    void on_accepted(std::uint64_t version, source from,
                     std::uint64_t corrupt_chunks, instant now);

    /// Records that a peer has another manifest of `version`.
    void on_conflict(std::uint64_t version);

    /// Forgets the versions for which `is_settled` returns true: those that are
    /// complete or no longer planned.
    void forget_if(const std::function<bool(std::uint64_t)>& is_settled);

    // ---- Decision ----------------------------------------------------------

    /// Returns the manifests to read again now. Each is returned once; the
    /// next `on_accepted` ends the doubt.
    [[nodiscard]] std::vector<doubt> due(std::uint64_t corrupt_chunks,
                                         instant now);

    /// Returns true from the moment at which `due` returned the version until
    /// its manifest has been accepted.
    [[nodiscard]] bool is_doubted(std::uint64_t version) const;

  private:
    struct record {
        std::uint64_t corrupt_chunks = 0; ///< Total when it was accepted.
        std::uint32_t origin_reads = 0;
        instant next_read{};
        bool has_conflict = false;
        bool is_doubted = false;
    };

    options limits_;
    std::map<std::uint64_t, record> records_;
};

} // namespace ospreystage
