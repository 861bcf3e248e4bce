#pragma once

#include "site.hpp"

namespace ospreystage::review {

/// Whether the rule of a case was broken.
enum class verdict { held, broken, not_run };

struct case_options {
    std::string root;
    std::string record_path;
    bool has_trouble = true;
};

/// The store returns from an older copy, then a key is revoked.
[[nodiscard]] verdict run_store_drill(const case_options& options);
/// Open connections to the store fall silent, then new weights are named.
[[nodiscard]] verdict run_silent_store(const case_options& options);
/// A request comes again that crashes the workers of a service of two.
[[nodiscard]] verdict run_fatal_request(const case_options& options);
/// The workers of a service start again in place, then a route is added.
[[nodiscard]] verdict run_restart_in_place(const case_options& options);

} // namespace ospreystage::review
