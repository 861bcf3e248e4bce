#pragma once

#include "common.hpp"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage::standin {

/// Versions that the engine holds or loads.
///
/// It checks no digest: whatever the source sends becomes part of the
/// weights, so that wrong bytes show in every token.
class engine_weights {
  public:
    /// Starts to load a version, unless it is held or already loading.
    ///
    /// A load that fails is forgotten; the order has to be repeated.
    void load(const std::string& version, const std::string& source);

    void drop(const std::string& version);

    /// Forgets everything; loads in progress are abandoned.
    void reset();

    [[nodiscard]] std::vector<std::string> held();
    [[nodiscard]] std::vector<std::string> loading();

    /// Returns the digest of a held version's bytes.
    [[nodiscard]] std::optional<std::string>
    weights_digest(const std::string& version);

  private:
    void run_load(const std::string& version, const std::string& source,
                  std::uint64_t number);
    [[nodiscard]] bool is_current(const std::string& version,
                                  std::uint64_t number);
    [[nodiscard]] std::optional<std::string> fetch(const std::string& version,
                                                   const std::string& source,
                                                   std::uint64_t number);

    absl::Mutex mutex_;
    std::uint64_t next_load_ = 1;
    std::map<std::string, std::uint64_t> loading_; ///< Number of each load.
    std::map<std::string, std::string> held_;      ///< Digest of the bytes.
};

} // namespace ospreystage::standin
