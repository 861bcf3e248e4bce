#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace ospreystage::impl {

static_assert(std::endian::native == std::endian::little,
              "the wire format is little endian");

/// Cereal archive that appends to a string in little-endian byte order.
class string_output_archive
    : public cereal::OutputArchive<string_output_archive,
                                   cereal::AllowEmptyClassElision> {
  public:
    explicit string_output_archive(std::string& out)
        : OutputArchive(this), out_(out) {}

    void write(const void* data, std::size_t size) {
        out_.append(static_cast<const char*>(data), size);
    }

  private:
    std::string& out_;
};

/// Cereal archive that reads from a view.
///
/// A length or element count that exceeds the remaining bytes throws
/// `cereal::Exception` before any memory is allocated for it.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive,
                                  cereal::AllowEmptyClassElision> {
  public:
    explicit bounded_input_archive(std::string_view in)
        : InputArchive(this), in_(in) {}

    void read(void* data, std::size_t size) {
        if (size > in_.size())
            throw cereal::Exception("input is truncated");
        std::memcpy(data, in_.data(), size);
        in_.remove_prefix(size);
    }

    void check_count(std::size_t count) const {
        if (count > in_.size())
            throw cereal::Exception("length exceeds the remaining input");
    }

    [[nodiscard]] bool exhausted() const noexcept { return in_.empty(); }

  private:
    std::string_view in_;
};

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive, const T& value) {
    archive.write(&value, sizeof(value));
}

template <typename T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, T& value) {
    if constexpr (std::is_same_v<T, bool>) {
        // Only 0 and 1 are values of a bool.
        unsigned char byte = 0;
        archive.read(&byte, sizeof(byte));
        value = byte != 0;
    } else {
        archive.read(&value, sizeof(value));
    }
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(string_output_archive& archive,
                                    cereal::SizeTag<T>& tag) {
    archive(static_cast<std::uint32_t>(tag.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive,
                                    cereal::SizeTag<T>& tag) {
    std::uint32_t count = 0;
    archive(count);
    archive.check_count(count);
    tag.size = count;
}

/// Reads the elements one by one, so that memory is allocated for those that
/// are there and not for their count.
template <typename T>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(
    bounded_input_archive& archive, std::vector<T>& elements) {
    cereal::size_type count = 0;
    archive(cereal::make_size_tag(count));
    elements.clear();
    for (cereal::size_type index = 0; index < count; ++index)
        archive(elements.emplace_back());
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(string_output_archive& archive,
                               const cereal::BinaryData<T>& data) {
    archive.write(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive,
                               cereal::BinaryData<T>& data) {
    archive.read(data.data, static_cast<std::size_t>(data.size));
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(string_output_archive& archive,
                                    cereal::NameValuePair<T>& pair) {
    archive(pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive,
                                    cereal::NameValuePair<T>& pair) {
    archive(pair.value);
}

} // namespace ospreystage::impl

CEREAL_SETUP_ARCHIVE_TRAITS(ospreystage::impl::bounded_input_archive,
                            ospreystage::impl::string_output_archive)
