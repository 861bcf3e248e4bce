#pragma once

#include <ospreystage/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage::bench {

/// Window and seed of one run.
struct case_options {
    seconds window{20}; ///< Time in which callers send requests.
    std::uint64_t seed = 1;
};

/// What one case measured.
struct case_result {
    nlohmann::json line;             ///< Figures to print.
    std::vector<std::string> missed; ///< Bars that the run missed.
};

/// Returns the names of all cases in the order in which they run.
[[nodiscard]] std::vector<std::string> request_case_names();

/// Runs one case with a fleet of its own; throws `std::runtime_error` if the
/// fleet can't be brought up, and `std::out_of_range` for an unknown name.
[[nodiscard]] case_result run_request_case(const std::string& name,
                                           const case_options& options);

} // namespace ospreystage::bench
