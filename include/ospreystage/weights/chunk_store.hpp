#pragma once

#include <ospreystage/weights/chunk_bitmap.hpp>
#include <ospreystage/weights/manifest.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Chunk backend that stores versions in process memory.
class memory_chunks {
  public:
    [[nodiscard]] leaf::result<void> open(const digest& version,
                                          std::uint64_t bytes);
    [[nodiscard]] leaf::result<void>
    write(const digest& version, std::uint64_t offset, const std::string& data);
    [[nodiscard]] leaf::result<std::string>
    read(const digest& version, std::uint64_t offset, std::size_t size) const;
    void remove(const digest& version);

  private:
    absl::flat_hash_map<digest, std::string> contents_;
};

/// Chunk backend that stores each version in one file of a memory-backed
/// directory.
class file_chunks {
  public:
    explicit file_chunks(std::string folder);
    ~file_chunks();
    file_chunks(file_chunks&& other) noexcept;
    file_chunks(const file_chunks&) = delete;
    file_chunks& operator=(const file_chunks&) = delete;
    file_chunks& operator=(file_chunks&&) = delete;

    [[nodiscard]] leaf::result<void> open(const digest& version,
                                          std::uint64_t bytes);
    [[nodiscard]] leaf::result<void>
    write(const digest& version, std::uint64_t offset, const std::string& data);
    [[nodiscard]] leaf::result<std::string>
    read(const digest& version, std::uint64_t offset, std::size_t size) const;
    void remove(const digest& version);

  private:
    [[nodiscard]] std::string path_of(const digest& version) const;

    std::string folder_;
    absl::flat_hash_map<digest, int> descriptors_;
};

/// Storage backend for chunk bytes.
using chunk_backend = std::variant<memory_chunks, file_chunks>;

/// Store of verified chunks; never returns a chunk whose digest was not
/// verified.
///
/// All functions may be called from any thread.
///
///     chunk_store store{memory_chunks{}};
///     BOOST_LEAF_CHECK(store.add(version, description));
///     BOOST_LEAF_CHECK(store.put(version, 0, bytes));
class chunk_store {
  public:
    // ---- Construction ------------------------------------------------------

    explicit chunk_store(chunk_backend backend);

    // ---- Observers ---------------------------------------------------------

    /// Returns true if the manifest of `version` is known.
    [[nodiscard]] bool contains(const digest& version) const;

    /// Returns true if chunk `index` is stored.
    [[nodiscard]] bool has(const digest& version, std::uint32_t index) const;

    /// Returns the stored chunks; an empty set for an unknown version.
    [[nodiscard]] chunk_bitmap bitmap(const digest& version) const;

    /// Returns true if every chunk is stored.
    [[nodiscard]] bool complete(const digest& version) const;

    /// Returns the canonical text of the manifest, or `not_found`.
    [[nodiscard]] leaf::result<std::string>
    manifest_text(const digest& version) const;

    /// Returns the bytes of a stored chunk, or `not_found`.
    [[nodiscard]] leaf::result<std::string> read(const digest& version,
                                                 std::uint32_t index) const;

    // ---- Modifiers ---------------------------------------------------------

    /// Adds a version without chunks; has no effect if the version is known.
    [[nodiscard]] leaf::result<void> add(const digest& version,
                                         const manifest& description);

    /// Verifies the SHA-256 of `data` and stores it as chunk `index`.
    ///
    /// Errors: `not_found` for an unknown version or index, `malformed` if the
    /// bytes do not match the manifest, `unavailable` if the backend cannot
    /// store them. Storing a chunk twice is not an error.
    [[nodiscard]] leaf::result<void>
    put(const digest& version, std::uint32_t index, const std::string& data);

    /// Drops a version and frees its bytes.
    void drop(const digest& version);

  private:
    struct version_record {
        manifest description;
        chunk_bitmap stored;
    };

    mutable absl::Mutex mutex_;
    chunk_backend backend_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<digest, version_record>
        versions_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage
