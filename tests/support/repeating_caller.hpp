#pragma once

#include <ospreystage/core/clock.hpp>

#include <tests/support/caller.hpp>

#include <cstdint>

namespace ospreystage::support {

/// What a caller does when a try brings no final answer.
struct repeat_options {
    std::uint32_t tries = 20; ///< Tries of one request, the first included.
    /// Repeats after a connection that died or went silent. Only for runs in
    /// which an entry is made to fail: otherwise such an end is a fault.
    bool after_dead_connection = false;
    /// A connection is taken for silent after this time; 0: the deadline.
    milliseconds patience{0};
};

/// One request with all of its tries.
struct repeated_outcome {
    call_outcome last; ///< Its times count from the first try.
    call_result first_result = call_result::lost;
    std::uint32_t tries = 0;
    std::uint32_t dead_connections = 0;
};

/// Repeats requests as an ordinary caller does.
///
/// A request told `not-run` is sent again after its `retry_after`, one whose
/// connection died is sent again with the same key to the next entry. Both end
/// with the call's deadline. `unknown` is final.
class repeating_caller {
  public:
    repeating_caller(caller& client, repeat_options options);

    [[nodiscard]] repeated_outcome chat(const chat_call& call);
    [[nodiscard]] repeated_outcome plain(const plain_call& call);

  private:
    template <typename Try>
    [[nodiscard]] repeated_outcome repeat(milliseconds deadline,
                                          Try make_try) const;
    [[nodiscard]] bool repeats(const call_outcome& outcome) const;

    caller& client_;
    repeat_options options_;
};

} // namespace ospreystage::support
