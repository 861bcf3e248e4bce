#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>

#include <toml++/toml.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ospreystage::impl {

/// Reads the keys of one TOML table and records the first error.
///
/// The error gives file, line and key. Reads continue after an error and
/// return a value in any case, so that callers need no check after each key.
class table_reader {
  public:
    /// `table` may be null, which means that every key is missing.
    /// `first_error` is shared with the readers of sub-tables.
    table_reader(const toml::table* table, std::string path,
                 const std::string& file, std::optional<error>& first_error);

    // ---- Values ------------------------------------------------------------

    /// Reads a string; without a fallback it must be present and not empty.
    [[nodiscard]] std::string
    text(const char* key, const std::optional<std::string>& fallback = {});

    /// Reads a string that must be one of `choices`.
    [[nodiscard]] std::string
    choice(const char* key, const std::vector<std::string>& choices,
           const std::optional<std::string>& fallback = {});

    /// Reads an integer within [`min_value`, `max_value`].
    [[nodiscard]] std::uint64_t number(const char* key, std::uint64_t min_value,
                                       std::uint64_t max_value,
                                       std::uint64_t fallback);

    /// Reads a 32-bit integer within [`min_value`, `max_value`].
    [[nodiscard]] std::uint32_t number32(const char* key,
                                         std::uint32_t min_value,
                                         std::uint32_t max_value,
                                         std::uint32_t fallback);

    /// Reads a boolean.
    [[nodiscard]] bool flag(const char* key, bool fallback);

    /// Reads a duration such as `"500ms"`, `"2s"` or `"10min"` within
    /// [`min_value`, `max_value`].
    [[nodiscard]] milliseconds duration(const char* key, milliseconds min_value,
                                        milliseconds max_value,
                                        milliseconds fallback);

    /// Reads an address of the form `"host:port"`; it must be present.
    [[nodiscard]] address endpoint(const char* key);

    /// Reads an array of strings; a missing key gives an empty one.
    [[nodiscard]] std::vector<std::string> texts(const char* key);

    /// Returns a reader for each table of an array of tables.
    [[nodiscard]] std::vector<table_reader> tables(const char* key);

    /// Returns a reader of a sub-table, which may be missing.
    [[nodiscard]] table_reader table(const char* key);

    // ---- End ---------------------------------------------------------------

    /// Reports a key that is present but was not read as unknown.
    void finish();

    /// Records an error at `key`, unless one is recorded already.
    void report(const char* key, const std::string& detail);

  private:
    [[nodiscard]] const toml::node* find_node(const char* key);
    void record_error(const toml::source_region& where, const std::string& key,
                      const std::string& detail);

    const toml::table* table_;
    std::string path_;
    const std::string& file_;
    std::optional<error>& first_error_;
    std::set<std::string> read_keys_;
};

} // namespace ospreystage::impl
