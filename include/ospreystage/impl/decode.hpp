#pragma once

#include <ospreystage/core/error.hpp>
#include <ospreystage/impl/bounded_archive.hpp>

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace ospreystage::impl {

/// Decodes all of `bytes` with `decode`, which reads a value from a
/// `bounded_input_archive`.
///
/// Fails with `malformed`, `step` and `peer` if the archive throws or bytes are
/// left.
template <typename Decode>
[[nodiscard]] auto decode_all(std::string_view bytes, const char* step,
                              const std::string& peer, Decode decode)
    -> leaf::result<decltype(decode(std::declval<bounded_input_archive&>()))> {
    try {
        bounded_input_archive archive(bytes);
        auto value = decode(archive);
        if (!archive.exhausted())
            return fail(error_code::malformed, step, peer,
                        "trailing bytes after the message");
        return value;
    } catch (const std::exception& problem) {
        return fail(error_code::malformed, step, peer, problem.what());
    }
}

} // namespace ospreystage::impl
