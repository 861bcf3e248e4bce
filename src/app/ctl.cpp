#include <ospreystage/app/commands.hpp>
#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/impl/bounded_json.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <utility>

namespace ospreystage {

namespace {

constexpr seconds call_timeout{15};
/// The largest answer of an entry is its dump.
constexpr std::size_t max_answer_bytes = 64 * 1024 * 1024;
constexpr const char* base = "/admin/v1/rollout";

/// HTTP response of an entry; `status` is 0 if there was none.
struct reply {
    int status = 0;
    nlohmann::json body;
    std::string text;
};

reply send(const ctl_options& options, http_request request) {
    request.fields.push_back({"Authorization", "Bearer " + options.token});
    call_options bounds;
    bounds.connect_timeout = call_timeout;
    bounds.idle_timeout = call_timeout;
    bounds.timeout = 2 * call_timeout;
    bounds.max_body_bytes = max_answer_bytes;
    const auto answer = blocking_client(options.entry).fetch(request, bounds);
    reply out;
    if (answer.end != call_end::complete) {
        out.text = to_string(answer.end);
        return out;
    }
    out.status = answer.response.status;
    out.text = answer.response.body;
    out.body = impl::parse_json(out.text);
    return out;
}

reply get(const ctl_options& options, const std::string& path) {
    http_request request;
    request.target = path;
    return send(options, std::move(request));
}

reply post(const ctl_options& options, const std::string& path,
           const nlohmann::json& body) {
    return send(options, make_json_post(path, body.dump()));
}

exit_code print(const reply& answer) {
    if (answer.status == 0) {
        std::cerr << "entry did not answer: " << answer.text << '\n';
        return exit_code::unreachable;
    }
    const bool is_json = !answer.body.is_discarded();
    (answer.status < 300 ? std::cout : std::cerr)
        << (is_json ? answer.body.dump(2) : answer.text) << '\n';
    if (answer.status == 202)
        return exit_code::not_known;
    if (answer.status < 300)
        return exit_code::success;
    return answer.status == 401 ? exit_code::usage : exit_code::refused;
}

std::optional<nlohmann::json> read_document(const std::string& file) {
    std::ostringstream text;
    const std::ifstream in(file);
    if (!in) {
        std::cerr << file << ": cannot be read\n";
        return std::nullopt;
    }
    text << in.rdbuf();
    auto document = impl::parse_json(text.str());
    if (document.is_discarded()) {
        std::cerr << file << ": is not JSON\n";
        return std::nullopt;
    }
    return document;
}

std::string new_operation_id() {
    return fmt::format("ctl-{}", new_incarnation());
}

/// Returns the operation id, given or generated, and prints it before the call
/// so that the operator can query the outcome if the response is lost.
std::string choose_operation_id(const ctl_options& options) {
    std::string id = options.operation_id.empty() ? new_operation_id()
                                                  : options.operation_id;
    std::cerr << "operation " << id << '\n';
    return id;
}

} // namespace

exit_code ctl_validate(const ctl_options& options) {
    const auto document = read_document(options.file);
    if (!document)
        return exit_code::usage;
    const reply answer =
        post(options, fmt::format("{}/validate", base), *document);
    const exit_code code = print(answer);
    const bool is_invalid =
        answer.status == 200 && !answer.body.value("valid", false);
    return is_invalid ? exit_code::refused : code;
}

exit_code ctl_diff(const ctl_options& options) {
    const auto document = read_document(options.file);
    if (!document)
        return exit_code::usage;
    return print(post(options, fmt::format("{}/diff", base), *document));
}

exit_code ctl_apply(const ctl_options& options) {
    const auto document = read_document(options.file);
    if (!document)
        return exit_code::usage;
    return print(post(options, base,
                      {{"operation_id", choose_operation_id(options)},
                       {"document", *document}}));
}

exit_code ctl_operation(const ctl_options& options) {
    return print(
        get(options, fmt::format("{}/operations/{}?based_on={}", base,
                                 options.operation_id, options.number)));
}

exit_code ctl_status(const ctl_options& options) {
    return print(get(options, fmt::format("{}/status", base)));
}

exit_code ctl_show(const ctl_options& options) {
    if (options.number == 0)
        return print(get(options, base));
    return print(
        get(options, fmt::format("{}/history/{}", base, options.number)));
}

exit_code ctl_history(const ctl_options& options) {
    return print(get(options, fmt::format("{}/history", base)));
}

exit_code ctl_rollback(const ctl_options& options) {
    return print(post(options, fmt::format("{}/rollback", base),
                      {{"operation_id", choose_operation_id(options)},
                       {"to", options.number}}));
}

exit_code ctl_dump(const ctl_options& options) {
    return print(get(options, "/admin/v1/dump"));
}

} // namespace ospreystage
