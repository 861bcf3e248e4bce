#pragma once

#include <ospreystage/core/error.hpp>
#include <ospreystage/core/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Chunks of one model version; its own digest is the version's identity.
struct manifest {
    std::uint64_t total_bytes = 0;
    std::uint32_t chunk_bytes = 0; ///< Size of every chunk but the last.
    std::vector<digest> chunks;    ///< Digest of each chunk, in order.

    friend bool operator==(const manifest&, const manifest&) = default;

    /// Returns the size of chunk `index` in bytes.
    [[nodiscard]] std::uint32_t chunk_size(std::uint32_t index) const noexcept;
};

/// Largest chunk in bytes; a frame that carries one stays below the limit.
inline constexpr std::uint32_t max_chunk_bytes = 4 * 1024 * 1024;

/// Encodes the manifest in its canonical JSON form.
[[nodiscard]] std::string to_json_text(const manifest& value);

/// Decodes a manifest and checks that its digest is `version`.
[[nodiscard]] leaf::result<manifest> parse_manifest(const std::string& json,
                                                    const digest& version);

/// Splits `bytes` into chunks of `chunk_bytes` and describes them.
[[nodiscard]] manifest make_manifest(const std::string& bytes,
                                     std::uint32_t chunk_bytes);

/// Returns the digest that identifies the version `value` describes.
[[nodiscard]] digest version_of(const manifest& value);

} // namespace ospreystage
