#pragma once

#include <ospreystage/core/error.hpp>
#include <ospreystage/core/ids.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Manifest of one model version; the digest of its JSON form identifies it.
struct manifest {
    std::uint64_t total_bytes = 0;
    std::uint32_t chunk_bytes = 0; ///< Size of every chunk but the last.
    std::vector<digest> chunks;    ///< Digest of each chunk, in order.

    friend bool operator==(const manifest&, const manifest&) = default;

    /// Returns the size of chunk `index` in bytes.
    [[nodiscard]] std::uint32_t chunk_size(std::uint32_t index) const noexcept;
};

/// Maximum size of an encoded manifest, in bytes.
inline constexpr std::size_t max_manifest_bytes = 4 * 1024 * 1024;

/// Maximum chunk size in bytes; a frame with one chunk stays below the frame
/// size limit.
inline constexpr std::uint32_t max_chunk_bytes = 4 * 1024 * 1024;

/// Encodes the manifest in its canonical JSON form.
[[nodiscard]] std::string to_json_text(const manifest& value);

/// Decodes a manifest and checks that its digest is `version`.
[[nodiscard]] leaf::result<manifest> parse_manifest(const std::string& json,
                                                    const digest& version);

/// Splits `bytes` into chunks of `chunk_bytes` and describes them.
[[nodiscard]] manifest make_manifest(const std::string& bytes,
                                     std::uint32_t chunk_bytes);

/// Returns the digest that identifies the version described by `value`.
[[nodiscard]] digest version_of(const manifest& value);

} // namespace ospreystage
