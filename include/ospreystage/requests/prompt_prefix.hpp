#pragma once

#include <ospreystage/core/ids.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace ospreystage {

/// Size in bytes of the prompt blocks that an engine caches.
inline constexpr std::size_t prompt_block_bytes = 32;

/// Returns the first block of the prompt of a chat request: the contents of
/// its messages, joined by newlines. Empty if the prompt is shorter than a
/// block or the request is malformed.
[[nodiscard]] std::string first_prompt_block(const nlohmann::json& body);

/// Returns the hash that entries use for a first block; 0 for an empty block.
[[nodiscard]] std::uint64_t prefix_hash(const std::string& block);

/// Converts an engine's block hash (lower-case hexadecimal) to a number;
/// returns 0 if it is too short or malformed.
[[nodiscard]] std::uint64_t engine_block_number(const std::string& hash);

/// Returns the number that identifies a first block in an engine's cache for
/// `version`.
[[nodiscard]] std::uint64_t engine_block_number(const digest& version,
                                                const std::string& block);

/// Maps the blocks that an engine caches to the hashes that entries use.
///
/// An engine's hash cannot be inverted, so only blocks of recorded prompts can
/// be translated. Beyond a fixed number the oldest blocks are evicted.
class prefix_map {
  public:
    /// Records the prompt of a request that is forwarded to the engine.
    void record(const digest& version, const std::string& body);

    /// Returns the hashes of those `blocks` that were recorded.
    [[nodiscard]] std::vector<std::uint64_t>
    translate(const std::vector<std::uint64_t>& blocks) const;

  private:
    absl::flat_hash_map<std::uint64_t, std::uint64_t> prefixes_;
    std::deque<std::uint64_t> insertion_order_; ///< Blocks, oldest first.
};

} // namespace ospreystage
