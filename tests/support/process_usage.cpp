#include <fmt/format.h>
#include <tests/support/process_usage.hpp>
#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

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

} // namespace ospreystage::support
