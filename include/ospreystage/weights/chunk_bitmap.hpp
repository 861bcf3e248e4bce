#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ospreystage {

/// Set of chunk indexes of one version.
///
/// The bytes are the wire form of `chunk_have`: bit i of byte i/8.
class chunk_bitmap {
  public:
    // ---- Construction ------------------------------------------------------

    chunk_bitmap() = default;

    /// Makes an empty set over the indexes below `chunks`.
    explicit chunk_bitmap(std::uint32_t chunks)
        : bytes_((std::size_t{chunks} + 7) / 8), chunks_(chunks) {}

    /// Makes a set from its wire form; missing bytes and bits are clear.
    chunk_bitmap(std::uint32_t chunks, const std::vector<std::uint8_t>& bytes)
        : chunk_bitmap(chunks) {
        for (std::uint32_t index = 0; index < chunks; ++index)
            if (index / 8 < bytes.size() &&
                (bytes[index / 8] >> (index % 8) & 1U) != 0)
                set(index);
    }

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] std::uint32_t size() const noexcept { return chunks_; }
    [[nodiscard]] std::uint32_t count() const noexcept { return count_; }
    [[nodiscard]] bool is_full() const noexcept { return count_ == chunks_; }

    /// Returns true if `index` is in the set; false beyond `size()`.
    [[nodiscard]] bool test(std::uint32_t index) const noexcept {
        return index < chunks_ && (bytes_[index / 8] >> (index % 8) & 1U) != 0;
    }

    [[nodiscard]] const std::vector<std::uint8_t>& bytes() const noexcept {
        return bytes_;
    }

    // ---- Modifiers ---------------------------------------------------------

    /// Adds `index`; returns false if it was in the set or is out of range.
    bool set(std::uint32_t index) noexcept {
        if (index >= chunks_ || test(index))
            return false;
        bytes_[index / 8] =
            static_cast<std::uint8_t>(bytes_[index / 8] | 1U << (index % 8));
        ++count_;
        return true;
    }

    /// Adds every index.
    void fill() noexcept {
        for (std::uint32_t index = 0; index < chunks_; ++index)
            set(index);
    }

    friend bool operator==(const chunk_bitmap&, const chunk_bitmap&) = default;

  private:
    std::vector<std::uint8_t> bytes_;
    std::uint32_t chunks_ = 0;
    std::uint32_t count_ = 0;
};

} // namespace ospreystage
