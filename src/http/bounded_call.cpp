#include <ospreystage/http/bounded_call.hpp>

#include <string>
#include <utility>

namespace ospreystage {

httplib::Result call_bounded(httplib::Client& client, httplib::Request request,
                             const call_bounds& bounds) {
    const instant deadline = steady::now() + bounds.max_duration;
    std::string body;
    request.content_receiver = [&](const char* data, std::size_t size,
                                   std::uint64_t, std::uint64_t) {
        if (body.size() + size > bounds.max_body_bytes ||
            steady::now() > deadline)
            return false;
        body.append(data, size);
        return true;
    };
    httplib::Result result = client.send(request);
    if (result)
        result->body = std::move(body);
    return result;
}

httplib::Request make_get(const std::string& path) {
    httplib::Request request;
    request.method = "GET";
    request.path = path;
    return request;
}

httplib::Request make_json_post(const std::string& path, std::string body) {
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.set_header("Content-Type", "application/json");
    request.body = std::move(body);
    return request;
}

} // namespace ospreystage
