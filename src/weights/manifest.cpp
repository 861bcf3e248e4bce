#include <ospreystage/weights/manifest.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

bool is_consistent(const manifest& value) {
    if (value.chunk_bytes == 0 || value.chunk_bytes > max_chunk_bytes)
        return false;
    const std::uint64_t count =
        (value.total_bytes + value.chunk_bytes - 1) / value.chunk_bytes;
    return count == value.chunks.size() &&
           std::all_of(value.chunks.begin(), value.chunks.end(), is_digest);
}

} // namespace

std::uint32_t manifest::chunk_size(std::uint32_t index) const noexcept {
    const std::uint64_t start = std::uint64_t{index} * chunk_bytes;
    if (start >= total_bytes)
        return 0;
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(chunk_bytes, total_bytes - start));
}

std::string to_json_text(const manifest& value) {
    nlohmann::json json;
    json["total_bytes"] = value.total_bytes;
    json["chunk_bytes"] = value.chunk_bytes;
    json["chunks"] = value.chunks;
    return json.dump();
}

leaf::result<manifest> parse_manifest(const std::string& json,
                                      const digest& version) {
    if (sha256(json) != version)
        return fail(error_code::malformed, "manifest.parse", "",
                    "digest of the manifest differs from version " + version);
    try {
        const auto parsed = nlohmann::json::parse(json);
        manifest value;
        value.total_bytes = parsed.at("total_bytes").get<std::uint64_t>();
        value.chunk_bytes = parsed.at("chunk_bytes").get<std::uint32_t>();
        value.chunks = parsed.at("chunks").get<std::vector<digest>>();
        if (!is_consistent(value))
            return fail(error_code::malformed, "manifest.parse", "",
                        "total_bytes, chunk_bytes and the number of chunks are "
                        "inconsistent");
        return value;
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_code::malformed, "manifest.parse", "",
                    problem.what());
    }
}

manifest make_manifest(const std::string& bytes, std::uint32_t chunk_bytes) {
    manifest value;
    value.total_bytes = bytes.size();
    value.chunk_bytes = chunk_bytes;
    for (std::size_t start = 0; start < bytes.size(); start += chunk_bytes) {
        const std::size_t size =
            std::min<std::size_t>(chunk_bytes, bytes.size() - start);
        value.chunks.push_back(sha256(bytes.data() + start, size));
    }
    return value;
}

digest version_of(const manifest& value) {
    return sha256(to_json_text(value));
}

} // namespace ospreystage
