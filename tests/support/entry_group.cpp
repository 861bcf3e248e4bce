#include "entry_group.hpp"

#include "eventually.hpp"
#include "free_ports.hpp"
#include "platform_entry.hpp"
#include "text_file.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace ospreystage::testing {

entry_group::entry_group(const address& store, int count)
    : ports_(support::free_ports(3)),
      folder_(std::filesystem::temp_directory_path() /
              fmt::format("ospreystage-entries-{}", getpid())) {
    std::filesystem::create_directories(folder_);
    for (int number = 1; number <= count; ++number)
        start(store, number);
}

entry_group::~entry_group() {
    entries_.clear();
    std::filesystem::remove_all(folder_);
}

double entry_group::metric(std::size_t index, const std::string& name) const {
    const std::string text = get_raw(entries_[index].ready, "/metrics");
    const std::size_t found = text.find(name + " ");
    return found == std::string::npos
               ? -1
               : std::strtod(text.c_str() + found + name.size(), nullptr);
}

bool entry_group::await_ready(milliseconds limit) const {
    return support::eventually(limit, [&] {
        return std::all_of(
            entries_.begin(), entries_.end(), [](const entry& each) {
                return get_raw(each.ready, "/v1/readyz").find(" 200 ") !=
                       std::string::npos;
            });
    });
}

bool entry_group::await_version(double version, milliseconds limit) const {
    return support::eventually(limit, [&] {
        for (std::size_t index = 0; index < entries_.size(); ++index)
            if (metric(index, "ospreystage_configuration_version") < version)
                return false;
        return true;
    });
}

void entry_group::restart(std::size_t index) {
    entry& ended = entries_[index];
    ended.process = start_process(ended.settings_file);
}

support::child_process
entry_group::start_process(const std::string& settings_file) {
    error failure;
    auto child = value_or_error(
        [&] {
            return start_platform_entry(settings_file, settings_file + ".log");
        },
        failure);
    if (!child)
        throw std::runtime_error("entry not started: " + to_string(failure));
    return std::move(*child);
}

void entry_group::start(const address& store, int number) {
    const std::string host = fmt::format("127.0.0.{}", number + 1);
    const std::string file = folder_ / fmt::format("{}.conf", number);
    if (!support::write_text_file(
            file, fmt::format("node=edge-{}\nip={}\nzone=hall-a\nregion=north\n"
                              "zones.hall-a=north\nlisten.front={}:{}\n"
                              "listen.ready={}:{}\ninternal_ports={},{}\n"
                              "platform.address={}\nbounds.drain_ms=3000\n",
                              number, host, host, ports_[0], host, ports_[1],
                              ports_[2], ports_[2] + 9, to_string(store))))
        throw std::runtime_error("settings file not written: " + file);
    entries_.push_back(
        {{host, ports_[0]}, {host, ports_[1]}, file, start_process(file)});
}

} // namespace ospreystage::testing
