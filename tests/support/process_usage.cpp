#include <fmt/format.h>
#include <tests/support/process_usage.hpp>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <system_error>

namespace ospreystage::support {

namespace {

/// Fields of `/proc/PID/stat` between the name and the user time.
constexpr int fields_before_user_time = 11;

} // namespace

std::optional<process_usage> usage_of(pid_t pid) {
    std::ifstream stat(fmt::format("/proc/{}/stat", pid));
    std::ifstream statm(fmt::format("/proc/{}/statm", pid));
    std::string line;
    std::uint64_t whole_pages = 0;
    std::uint64_t resident_pages = 0;
    if (!std::getline(stat, line) || !(statm >> whole_pages >> resident_pages))
        return std::nullopt;
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int index = 0; index < fields_before_user_time; ++index)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    const std::int64_t ticks = sysconf(_SC_CLK_TCK);
    const auto page = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    return process_usage{milliseconds((user + system) * 1000 / ticks),
                         resident_pages * page};
}

std::optional<std::uint64_t> peak_resident_bytes(pid_t pid) {
    constexpr std::uint64_t bytes_per_kib = 1024;
    std::ifstream status(fmt::format("/proc/{}/status", pid));
    std::string word;
    std::uint64_t kib = 0;
    while (status >> word)
        if (word == "VmHWM:" && status >> kib)
            return kib * bytes_per_kib;
    return std::nullopt;
}

std::size_t open_descriptors(pid_t pid) {
    std::error_code problem;
    const std::filesystem::directory_iterator found(
        fmt::format("/proc/{}/fd", pid), problem);
    return static_cast<std::size_t>(
        std::distance(begin(found), std::filesystem::directory_iterator()));
}

} // namespace ospreystage::support
