#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/impl/bounded_json.hpp>

#include <nlohmann/json.hpp>

namespace ospreystage {

namespace {

constexpr std::uint16_t status_ok = 200;
/// Largest list of VMs, of some 60 bytes each.
constexpr std::size_t max_list_bytes = 1024 * 1024;
/// Longest call, in multiples of the timeout of each of its steps.
constexpr int max_call_timeouts = 3;

} // namespace

leaf::result<std::vector<listed_vm>> parse_vm_list(const std::string& json,
                                                   const std::string& url) {
    const nlohmann::json parsed = impl::parse_json(json);
    if (!parsed.is_array())
        return fail(error_code::malformed, "vm_list.parse", url,
                    "not a JSON list");
    try {
        std::vector<listed_vm> list;
        for (const auto& item : parsed) {
            const auto state = item.at("state").get<std::string>();
            list.push_back(
                {item.at("vm").get<std::string>(), state == "leaving"});
        }
        return list;
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_code::malformed, "vm_list.parse", url,
                    problem.what());
    }
}

leaf::result<std::vector<listed_vm>> read_vm_list(const std::string& url,
                                                  milliseconds timeout) {
    call_options options;
    options.connect_timeout = timeout;
    options.idle_timeout = timeout;
    options.timeout = max_call_timeouts * timeout;
    options.max_body_bytes = max_list_bytes;
    http_request request;
    request.target = "/vms";
    const auto answer = blocking_client(url).fetch(request, options);
    if (answer.end != call_end::complete)
        return fail(error_code::unavailable, "vm_list.read", url,
                    to_string(answer.end));
    if (answer.response.status != status_ok)
        return fail(error_code::unavailable, "vm_list.read", url,
                    "HTTP status " + std::to_string(answer.response.status));
    return parse_vm_list(answer.response.body, url);
}

} // namespace ospreystage
