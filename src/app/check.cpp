#include <ospreystage/app/commands.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <fmt/format.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

namespace ospreystage {

namespace {

bool settings_are_valid(const std::string& file) {
    error failure;
    const auto value =
        value_or_error([&] { return load_settings(file); }, failure);
    if (value)
        std::cout << fmt::format("{}: ok\n", file);
    else
        std::cerr << failure.detail << '\n';
    return value.has_value();
}

bool rollout_is_valid(const std::string& file) {
    std::ostringstream text;
    const std::ifstream in(file);
    if (!in) {
        std::cerr << fmt::format("{}: cannot be read\n", file);
        return false;
    }
    text << in.rdbuf();
    error failure;
    const auto document =
        value_or_error([&] { return parse_rollout(text.str()); }, failure);
    if (!document) {
        std::cerr << fmt::format("{}: {}\n", file, failure.detail);
        return false;
    }
    const auto problems = validate(*document);
    for (const rollout_problem& problem : problems)
        std::cerr << fmt::format("{}: {}: {}\n", file, problem.field,
                                 problem.message);
    if (problems.empty())
        std::cout << fmt::format("{}: ok\n", file);
    return problems.empty();
}

template <typename Check>
exit_code check_all(const std::vector<std::string>& files, Check check) {
    bool valid = true;
    for (const std::string& file : files)
        valid = check(file) && valid;
    return valid ? exit_code::success : exit_code::refused;
}

} // namespace

exit_code check_settings(const std::vector<std::string>& files) {
    return check_all(files, settings_are_valid);
}

exit_code check_rollouts(const std::vector<std::string>& files) {
    return check_all(files, rollout_is_valid);
}

} // namespace ospreystage
