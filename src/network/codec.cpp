#include <ospreystage/impl/decode.hpp>
#include <ospreystage/network/codec.hpp>

namespace ospreystage {

namespace {

void append_big_endian(std::string& out, std::uint32_t value, int bytes) {
    for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
        out.push_back(static_cast<char>((value >> shift) & 0xFFU));
}

std::uint32_t read_big_endian(std::string_view bytes) {
    std::uint32_t value = 0;
    for (const char byte : bytes)
        value = (value << 8U) | static_cast<unsigned char>(byte);
    return value;
}

} // namespace

std::string encode_payload(const message& value) {
    std::string payload;
    impl::string_output_archive archive(payload);
    archive(value);
    return payload;
}

leaf::result<message> decode_payload(std::string_view payload,
                                     const std::string& peer) {
    return impl::decode_all(payload, "codec.decode", peer, [](auto& archive) {
        message value;
        archive(value);
        return value;
    });
}

std::string encode_frame(const message& value) {
    std::string frame(frame_header_bytes, '\0');
    impl::string_output_archive archive(frame);
    archive(value);
    std::string header;
    append_big_endian(
        header, static_cast<std::uint32_t>(frame.size() - frame_header_bytes),
        4);
    append_big_endian(header, protocol_version, 2);
    frame.replace(0, frame_header_bytes, header);
    return frame;
}

leaf::result<frame_header> decode_header(std::string_view bytes,
                                         const std::string& peer) {
    if (bytes.size() < frame_header_bytes)
        return fail(error_code::malformed, "codec.header", peer,
                    "frame header truncated");
    frame_header header;
    header.length = read_big_endian(bytes.substr(0, 4));
    header.version =
        static_cast<std::uint16_t>(read_big_endian(bytes.substr(4, 2)));
    if (header.version != protocol_version)
        return fail(error_code::malformed, "codec.header", peer,
                    "unsupported version " + std::to_string(header.version));
    if (header.length > max_frame_bytes)
        return fail(error_code::too_large, "codec.header", peer,
                    std::to_string(header.length) +
                        " payload bytes exceed the frame limit");
    return header;
}

} // namespace ospreystage
