#include <ospreystage/core/resource_limits.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

constexpr std::size_t file_descriptors = 200;
/// Connections that are always allowed, so that a process with a very low limit
/// still serves.
constexpr std::size_t min_connections = 16;
/// Parts of the descriptors that are not for files. Each request takes one
/// connection of a caller and usually one to a server; the store has those by
/// which the second part exceeds the first. Internal connections are counted at
/// each of up to four listening sockets.
constexpr std::size_t caller_percent = 40;
constexpr std::size_t client_percent = 44;
constexpr std::size_t internal_percent = 4;
constexpr std::size_t all_percent = 100;

} // namespace

std::size_t resource_limits::part(std::size_t percent) const noexcept {
    if (max_descriptors_ == 0)
        return 0;
    const std::size_t available =
        max_descriptors_ - std::min(max_descriptors_, file_descriptors);
    return std::max(min_connections, available * percent / all_percent);
}

std::size_t resource_limits::max_caller_connections() const noexcept {
    return part(caller_percent);
}

std::size_t resource_limits::max_client_connections() const noexcept {
    return part(client_percent);
}

std::size_t resource_limits::max_internal_connections() const noexcept {
    return part(serves_callers_ ? internal_percent : caller_percent);
}

nlohmann::json resource_limits::dump() const {
    return {{"memory_bytes", memory_.used()},
            {"max_memory_bytes", memory_.max_bytes()},
            {"max_descriptors", max_descriptors_}};
}

memory_budget* memory_budget_of(const kernel& core) {
    const auto* limits =
        core.find_if<resource_limits>(resource_limits::service_name);
    return limits == nullptr ? nullptr : &limits->memory();
}

} // namespace ospreystage
