#include "engine_weights.hpp"

#include <tests/support/weights.hpp>

#include <thread>

namespace ospreystage::standin {

namespace {

constexpr time_t read_timeout_seconds = 10;

} // namespace

void engine_weights::load(const std::string& version,
                          const std::string& source) {
    const absl::MutexLock lock(&mutex_);
    if (held_.contains(version) || loading_.contains(version))
        return;
    const std::uint64_t number = next_load_++;
    loading_[version] = number;
    std::thread([this, version, source, number] {
        run_load(version, source, number);
    }).detach();
}

void engine_weights::drop(const std::string& version) {
    const absl::MutexLock lock(&mutex_);
    held_.erase(version);
    loading_.erase(version);
}

void engine_weights::reset() {
    const absl::MutexLock lock(&mutex_);
    held_.clear();
    loading_.clear();
}

std::vector<std::string> engine_weights::held() {
    const absl::MutexLock lock(&mutex_);
    std::vector<std::string> versions;
    for (const auto& [version, bytes] : held_)
        versions.push_back(version);
    return versions;
}

std::vector<std::string> engine_weights::loading() {
    const absl::MutexLock lock(&mutex_);
    std::vector<std::string> versions;
    for (const auto& [version, number] : loading_)
        versions.push_back(version);
    return versions;
}

std::optional<std::string>
engine_weights::weights_digest(const std::string& version) {
    const absl::MutexLock lock(&mutex_);
    const auto found = held_.find(version);
    if (found == held_.end())
        return std::nullopt;
    return found->second;
}

void engine_weights::run_load(const std::string& version,
                              const std::string& source, std::uint64_t number) {
    const auto bytes = fetch(version, source, number);
    const absl::MutexLock lock(&mutex_);
    const auto found = loading_.find(version);
    if (found == loading_.end() || found->second != number)
        return;
    loading_.erase(found);
    if (bytes)
        held_[version] = *bytes;
}

bool engine_weights::is_current(const std::string& version,
                                std::uint64_t number) {
    const absl::MutexLock lock(&mutex_);
    const auto found = loading_.find(version);
    return found != loading_.end() && found->second == number;
}

std::optional<std::string> engine_weights::fetch(const std::string& version,
                                                 const std::string& source,
                                                 std::uint64_t number) {
    httplib::Client client(source);
    client.set_keep_alive(true);
    client.set_tcp_nodelay(true);
    client.set_read_timeout(read_timeout_seconds);
    const std::string base = "/weights/" + version;
    const auto description = client.Get((base + "/manifest").c_str());
    if (!description || description->status != 200)
        return std::nullopt;
    const json parsed = json::parse(description->body, nullptr, false);
    if (!parsed.is_object() || !parsed.contains("chunks"))
        return std::nullopt;
    support::sha256_stream bytes;
    const auto receive = [&](const char* data, std::size_t size) {
        bytes.update(data, size);
        return is_current(version, number);
    };
    for (std::size_t index = 0; index < parsed["chunks"].size(); ++index) {
        const std::string path = base + "/chunks/" + std::to_string(index);
        const auto chunk = client.Get(path.c_str(), receive);
        if (!chunk || chunk->status != 200)
            return std::nullopt;
    }
    return bytes.finish();
}

} // namespace ospreystage::standin
