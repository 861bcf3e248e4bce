#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace ospreystage {

/// Value of a key in the platform's key-value service.
struct kv_entry {
    std::string value;
    std::int64_t mod_revision = 0; ///< Store revision of the last write.

    friend bool operator==(const kv_entry&, const kv_entry&) = default;
};

/// Result of a read.
struct kv_reading {
    std::optional<kv_entry> entry;   ///< Nothing if the key is absent.
    std::int64_t store_revision = 0; ///< Revision of the store at the read.
};

/// The compare-and-swap took effect.
struct kv_written {};

/// The compare-and-swap failed its comparison and changed nothing.
struct kv_conflict {
    std::optional<kv_entry> current; ///< Current value; nothing if absent.
};

/// Result of a compare-and-swap.
using kv_write_outcome = std::variant<kv_written, kv_conflict>;

/// Blocking client of the etcd v3 JSON gateway. Safe from any thread.
///
/// Every call opens its own connection, so that no call has to wait on a
/// connection that stopped responding.
class kv_client {
  public:
    /// `url` has the form `http://host:port`. `call_timeout` applies
    /// separately to connecting, sending and receiving.
    kv_client(std::string url, milliseconds call_timeout);

    /// Reads a key.
    ///
    /// Fails with `unavailable` if the service did not answer or answered
    /// with a server error, with `overloaded` or `invalid_argument` if it
    /// refused the call, and with `malformed` if its answer is not valid.
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
