#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/prompt_part.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <list>
#include <optional>

namespace ospreystage {

/// The parts of prompts on which answers were written, bounded.
///
/// A part that was used once is evicted before one that was used again, so
/// that callers who send new parts with each request evict each other's only.
class sound_parts {
  public:
    /// Each of the two groups, parts used once and parts used again, holds at
    /// most `capacity` parts.
    explicit sound_parts(std::size_t capacity) : capacity_(capacity) {}

    /// Records an answer on the part that began at `begun`.
    void record(prompt_part part, instant begun);

    /// Returns when the latest answer on the part began, if one is known.
    [[nodiscard]] std::optional<instant> last_begun(prompt_part part) const;

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

  private:
    struct part_record {
        instant begun{};
        bool is_reused = false;
        std::list<prompt_part>::iterator position;
    };

    void evict(std::list<prompt_part>& group);

    std::size_t capacity_;
    absl::flat_hash_map<prompt_part, part_record> records_;
    std::list<prompt_part> used_once_; ///< Least recently used first.
    std::list<prompt_part> reused_;
};

} // namespace ospreystage
