#pragma once

#include <ospreystage/core/ids.hpp>
#include <ospreystage/weights/manifest.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace ospreystage::support {

/// Incremental SHA-256.
class sha256_stream {
  public:
    sha256_stream();
    ~sha256_stream();
    sha256_stream(const sha256_stream&) = delete;
    sha256_stream& operator=(const sha256_stream&) = delete;

    void update(const void* bytes, std::size_t size);

    /// Returns the digest; `update` must not be called afterwards.
    [[nodiscard]] digest finish();

  private:
    struct context;
    std::unique_ptr<context> context_;
};

/// Parameters that determine every byte of a model version.
struct weights_spec {
    std::string name;
    std::uint64_t bytes = 0;
    std::uint32_t chunk_bytes = 0;
    std::uint64_t seed = 0;
};

/// Returns the bytes of chunk `index`.
[[nodiscard]] std::string weights_chunk(const weights_spec& spec,
                                        std::uint32_t index);

/// Digests and manifest of one version.
struct weights_version {
    digest version;        ///< Digest of the manifest.
    digest weights_digest; ///< SHA-256 over all bytes in order.
    manifest description;
};

/// Computes the manifest and the digests, as the origin does.
[[nodiscard]] weights_version describe(const weights_spec& spec);

/// Returns token `index` of the response to `prompt`, as the engine does.
[[nodiscard]] std::string expected_token(const digest& weights_digest,
                                         const std::string& prompt,
                                         std::uint64_t index);

} // namespace ospreystage::support
