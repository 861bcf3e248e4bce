#include <ospreystage/core/compression.hpp>

#include <fmt/format.h>
#include <zlib.h>

#include <array>
#include <cstdint>

namespace ospreystage {

namespace {

constexpr std::size_t block_bytes = 16 * 1024;

/// Ends an inflation when it leaves the scope.
class inflation {
  public:
    explicit inflation(std::string_view bytes) {
        // zlib does not write to its input.
        stream.next_in =
            reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
        stream.avail_in = static_cast<uInt>(bytes.size());
        is_open = inflateInit(&stream) == Z_OK;
    }
    ~inflation() {
        if (is_open)
            inflateEnd(&stream);
    }
    inflation(const inflation&) = delete;
    inflation& operator=(const inflation&) = delete;

    z_stream stream{};
    bool is_open = false;
};

} // namespace

std::string compress(std::string_view text) {
    auto size = compressBound(static_cast<uLong>(text.size()));
    std::string out(size, '\0');
    // Fails only for lack of memory or room, of which there is enough.
    compress2(reinterpret_cast<Bytef*>(out.data()), &size,
              reinterpret_cast<const Bytef*>(text.data()),
              static_cast<uLong>(text.size()), Z_BEST_SPEED);
    out.resize(size);
    return out;
}

leaf::result<std::string> decompress(std::string_view bytes,
                                     std::size_t max_bytes, const char* step,
                                     const std::string& peer) {
    const auto malformed = [&](const std::string& problem) {
        return fail(error_code::malformed, step, peer, problem);
    };
    if (bytes.size() > UINT32_MAX)
        return malformed("compressed data of 4 GiB or more");
    inflation source(bytes);
    if (!source.is_open)
        return malformed("no memory to decompress");
    std::string out;
    std::array<char, block_bytes> block{};
    int status = Z_OK;
    while (status == Z_OK) {
        source.stream.next_out = reinterpret_cast<Bytef*>(block.data());
        source.stream.avail_out = static_cast<uInt>(block.size());
        status = inflate(&source.stream, Z_NO_FLUSH);
        const std::size_t size = block.size() - source.stream.avail_out;
        if (out.size() + size > max_bytes)
            return malformed(
                fmt::format("more than {} bytes when decompressed", max_bytes));
        out.append(block.data(), size);
    }
    if (status != Z_STREAM_END || source.stream.avail_in != 0)
        return malformed("compressed data are corrupt or cut");
    return out;
}

} // namespace ospreystage
