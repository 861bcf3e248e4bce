#pragma once

#include <ospreystage/core/prompt_part.hpp>
#include <ospreystage/http/message.hpp>
#include <ospreystage/serving/caller_protocol.hpp>

#include <string>

namespace ospreystage {

/// Returns the id that all arrivals of one request share, at every entry: a
/// cryptographic hash of method, host, path with query, caller, prompt and
/// body. The caller is its organisation, or its key if it has none.
///
/// The hash contains the caller, and no request with a given id can be
/// constructed in practice, so that no caller can have another's refused.
[[nodiscard]] prompt_part request_identity(const http_request& request,
                                           const caller_request& caller,
                                           const std::string& organisation);

} // namespace ospreystage
