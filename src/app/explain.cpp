#include <ospreystage/app/explain.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>

namespace ospreystage {

namespace {

/// Returns true for fields that begin the text or that all lines share.
bool is_common_field(const std::string& name) {
    return name == "time" || name == "process" || name == "event" ||
           name == "level" || name == "request";
}

std::string text_of(const nlohmann::json& line, const char* name) {
    const auto found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>()
                                                     : "-";
}

} // namespace

void request_timeline::read(std::istream& log) {
    for (std::string row; std::getline(log, row);) {
        const std::size_t start = row.find('{');
        if (start == std::string::npos || row.find(id_) == std::string::npos)
            continue;
        const auto line =
            nlohmann::json::parse(row.substr(start), nullptr, false);
        if (!line.is_object() || text_of(line, "request") != id_)
            continue;
        std::string text =
            fmt::format("{} {} {}", text_of(line, "time"),
                        text_of(line, "process"), text_of(line, "event"));
        for (const auto& [name, value] : line.items())
            if (!is_common_field(name))
                text += fmt::format(" {}={}", name, value.dump());
        records_.push_back({text_of(line, "time"), std::move(text)});
    }
}

std::vector<std::string> request_timeline::describe() const {
    std::vector<log_record> sorted = records_;
    // Stable sort: lines with equal times keep the order in which they were
    // read.
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const log_record& left, const log_record& right) {
                         return left.time < right.time;
                     });
    std::vector<std::string> out;
    out.reserve(sorted.size());
    for (log_record& each : sorted)
        out.push_back(std::move(each.text));
    return out;
}

exit_code explain(const std::string& id,
                  const std::vector<std::string>& files) {
    request_timeline timeline(id);
    for (const std::string& file : files) {
        std::ifstream log(file);
        if (!log) {
            std::cerr << file << ": cannot be read\n";
            return exit_code::usage;
        }
        timeline.read(log);
    }
    const auto lines = timeline.describe();
    for (const std::string& line : lines)
        std::cout << line << '\n';
    if (!lines.empty())
        return exit_code::success;
    std::cerr << "no log line found for request " << id << '\n';
    return exit_code::refused;
}

} // namespace ospreystage
