#include "platform_entry.hpp"

#include "raw_connection.hpp"

#include <fmt/format.h>

#include <cstdlib>

namespace ospreystage::testing {

leaf::result<support::child_process>
start_platform_entry(const std::string& settings_file,
                     const std::string& output) {
    return start_platform_process("entry", settings_file, output);
}

leaf::result<support::child_process>
start_platform_process(const std::string& role,
                       const std::string& settings_file,
                       const std::string& output) {
    constexpr const char* file_variable = "OSPREYSTAGE_NODE_FILE";
    setenv(file_variable, settings_file.c_str(), 1);
    auto child = support::child_process::start(
        {std::string(OSPREYSTAGE_BINARY_DIR) + "/ospreystage", "platform",
         role},
        output);
    unsetenv(file_variable);
    return child;
}

std::string get_raw(const address& server, const std::string& target) {
    raw_connection caller(server);
    caller.send(fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                            "X-Request-Id: 1\r\nConnection: close\r\n\r\n",
                            target));
    return caller.read_all(seconds(2));
}

} // namespace ospreystage::testing
