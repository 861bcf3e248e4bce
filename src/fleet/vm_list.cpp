#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/http/bounded_call.hpp>

#include <nlohmann/json.hpp>

namespace ospreystage {

namespace {

constexpr int status_ok = 200;
/// Largest list of VMs, of some 60 bytes each.
constexpr std::size_t max_list_bytes = 1024 * 1024;
/// Longest call, in multiples of the timeout of each of its steps.
constexpr int max_call_timeouts = 3;

} // namespace

leaf::result<std::vector<listed_vm>> parse_vm_list(const std::string& json,
                                                   const std::string& url) {
    try {
        std::vector<listed_vm> list;
        for (const auto& item : nlohmann::json::parse(json)) {
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
    httplib::Client client(url);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_write_timeout(timeout);
    const auto answer =
        call_bounded(client, make_get("/vms"),
                     {max_list_bytes, max_call_timeouts * timeout});
    if (!answer)
        return fail(error_code::unavailable, "vm_list.read", url,
                    httplib::to_string(answer.error()));
    if (answer->status != status_ok)
        return fail(error_code::unavailable, "vm_list.read", url,
                    "HTTP status " + std::to_string(answer->status));
    return parse_vm_list(answer->body, url);
}

} // namespace ospreystage
