#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ospreystage {

/// A key's value in the platform's key-value service.
struct kv_entry {
    std::string value;
    std::int64_t mod_revision = 0; ///< Store revision of its last write.

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

/// Answer to a read.
struct kv_reading {
    std::optional<kv_entry> entry;   ///< Nothing if the key is absent.
    std::int64_t store_revision = 0; ///< Of the whole store at the read.
};

/// The compare-and-swap took effect.
struct kv_written {};

/// The compare-and-swap lost and changed nothing.
struct kv_conflict {
    std::optional<kv_entry> current; ///< What the key holds instead.
};

/// Answer to a compare-and-swap.
using kv_write_outcome = std::variant<kv_written, kv_conflict>;

/// Calls of the etcd v3 JSON gateway; each on a connection of its own, so
/// that no call waits on one that went silent. Blocks; safe from any thread.
class kv_client {
  public:
    /// `url` is `http://host:port`; `call_timeout` bounds connecting, sending
    /// and waiting, each.
    kv_client(std::string url, milliseconds call_timeout);

    /// Reads a key. Fails with `unavailable`, `overloaded`,
    /// `invalid_argument` or `malformed`.
    [[nodiscard]] leaf::result<kv_reading> read(const std::string& key) const;

    /// Writes `value` if the key's `mod_revision` is `expected` (0: absent).
    ///
    /// Fails with `unavailable` if nothing was sent, with `invalid_argument`
    /// or `overloaded` if the service refused the call, and with
    /// `unknown_effect` if the write may have taken effect.
    [[nodiscard]] leaf::result<kv_write_outcome>
    write_if(const std::string& key, std::int64_t expected,
             const std::string& value) const;

    [[nodiscard]] const std::string& url() const noexcept;
    [[nodiscard]] milliseconds call_timeout() const noexcept;

  private:
    [[nodiscard]] leaf::result<std::string> post(const std::string& path,
                                                 const std::string& body,
                                                 const char* step) const;

    std::string url_;
    milliseconds call_timeout_;
};

} // namespace ospreystage
