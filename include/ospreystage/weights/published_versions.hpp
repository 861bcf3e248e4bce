#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Versions of each model that the operator has published, with their times.
///
/// A version may be published before the last one is in use everywhere; each
/// one has a time limit of its own.
class published_versions {
  public:
    struct publication {
        std::uint64_t version = 0;
        /// When this process learned of it.
        instant received_at{};
        /// False if it was published before this process observed the model.
        bool is_observed = false;
    };

    /// `limit` is the time after which no request may begin on an older
    /// version.
    explicit published_versions(milliseconds limit) : limit_(limit) {}

    /// Replaces the limit, also of versions that are known.
    void set_limit(milliseconds limit) noexcept { limit_ = limit; }

    /// Takes a version; returns false if it is not newer than the known one.
    bool on_published(const std::string& model, std::uint64_t version,
                      bool is_observed, instant now);

    /// Returns the newest version of a model.
    [[nodiscard]] std::optional<publication>
    find(const std::string& model) const;

    /// Returns the oldest version of whose engines requests may still be sent
    /// to; 0: any.
    [[nodiscard]] std::uint64_t min_version(const std::string& model,
                                            instant now) const;

    /// Returns the oldest version on which a request that was sent before may
    /// still begin; 0: any.
    [[nodiscard]] std::uint64_t min_begin_version(const std::string& model,
                                                  instant now) const;

  private:
    [[nodiscard]] bool is_due(const publication& record, milliseconds margin,
                              instant now) const;
    [[nodiscard]] std::uint64_t newest_due(const std::string& model,
                                           milliseconds margin,
                                           instant now) const;

    milliseconds limit_;
    /// By model, the oldest first; those that are past their limit are
    /// dropped but for the newest of them.
    std::map<std::string, std::vector<publication>> models_;
};

} // namespace ospreystage
