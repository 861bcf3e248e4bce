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

/// Bytes of a prompt that an engine caches as one block.
inline constexpr std::size_t prompt_block_bytes = 32;

/// Returns the first block of the prompt of a chat request: the contents of
/// its messages, joined by line ends. Empty if the prompt is shorter.
[[nodiscard]] std::string first_prompt_block(const nlohmann::json& body);

/// Returns the hash by which entries know a first block; 0 for an empty one.
[[nodiscard]] std::uint64_t prefix_hash(const std::string& block);

/// Returns the number of an engine's block hash (hexadecimal digits), or 0 if
/// it is too short.
[[nodiscard]] std::uint64_t engine_block_number(const std::string& hash);

/// Returns the number under which an engine caches a first block of `version`.
[[nodiscard]] std::uint64_t engine_block_number(const digest& version,
                                                const std::string& block);

/// Translates the blocks that an engine caches into hashes that entries know.
///
/// An engine's hash can't be inverted, so only blocks of prompts that were
/// noted are known. The oldest are forgotten beyond a fixed number.
class prefix_map {
  public:
    /// Notes the prompt of a request that is forwarded to the engine.
    void record(const digest& version, const std::string& body);

    /// Returns the entries' hashes of those `blocks` that are known.
    [[nodiscard]] std::vector<std::uint64_t>
    translate(const std::vector<std::uint64_t>& blocks) const;

  private:
    absl::flat_hash_map<std::uint64_t, std::uint64_t> prefixes_;
    std::deque<std::uint64_t> insertion_order_; ///< Blocks, oldest first.
};

} // namespace ospreystage
