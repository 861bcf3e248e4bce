#include <httplib.h>
#include <tests/support/weights_server.hpp>

namespace ospreystage::support {

weights_server::weights_server(const weights_spec& spec)
    : weights_server(spec, describe(spec).version) {}

weights_server::weights_server(const weights_spec& spec, const digest& version)
    : server_(std::make_unique<httplib::Server>()) {
    const std::string base = "/weights/" + version;
    server_->Get(base + "/manifest",
                 [text = to_json_text(describe(spec).description)](
                     const httplib::Request&, httplib::Response& answer) {
                     answer.set_content(text, "application/json");
                 });
    server_->Get(
        base + "/chunks/([0-9]{1,9})",
        [spec](const httplib::Request& request, httplib::Response& answer) {
            const auto index =
                static_cast<std::uint32_t>(std::stoul(request.matches[1]));
            answer.set_content(weights_chunk(spec, index),
                               "application/octet-stream");
        });
    const int port = server_->bind_to_any_port("127.0.0.1");
    url_ = "http://127.0.0.1:" + std::to_string(port);
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    while (!server_->is_running())
        std::this_thread::yield();
}

weights_server::~weights_server() {
    server_->stop();
    thread_.join();
}

} // namespace ospreystage::support
