#include <tests/support/fleet.hpp>
#include <tests/support/free_ports.hpp>
#include <tests/support/standin.hpp>

#include <stdexcept>
#include <utility>

namespace ospreystage::support {

namespace {

constexpr milliseconds ready_timeout{10'000};

child_process start_standin(std::vector<std::string> arguments,
                            const std::string& listen) {
    const std::string log_file =
        make_run_folder() + "/" + arguments.front() + ".log";
    arguments.insert(arguments.begin(), standin_binary());
    arguments.insert(arguments.end(), {"--listen", listen});
    error failure;
    auto started = value_or_error(
        [&] { return child_process::start(arguments, log_file); }, failure);
    if (!started)
        throw std::runtime_error(to_string(failure));
    if (!started->await_line("ready", ready_timeout))
        throw std::runtime_error("not ready: " + started->log_text());
    return std::move(*started);
}

std::string free_endpoint() {
    return "127.0.0.1:" + std::to_string(free_ports(1).at(0));
}

} // namespace

standin::standin(std::vector<std::string> arguments)
    : url_("http://" + free_endpoint()),
      process_(start_standin(std::move(arguments),
                             url_.substr(std::string("http://").size()))) {}

http_answer standin::post(const std::string& path, const nlohmann::json& body,
                          const http_headers& headers) {
    return post_json(url_, path, body, headers);
}

http_answer standin::get(const std::string& path) const {
    return get_json(url_, path);
}

} // namespace ospreystage::support
