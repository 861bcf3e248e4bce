#include <httplib.h>
#include <tests/support/http_json.hpp>

namespace ospreystage::support {

namespace {

httplib::Client make_client(const std::string& url, milliseconds timeout) {
    httplib::Client client(url);
    client.set_connection_timeout(timeout);
    client.set_read_timeout(timeout);
    client.set_tcp_nodelay(true);
    return client;
}

http_answer to_answer(const httplib::Result& result) {
    http_answer answer;
    if (!result)
        return answer;
    answer.status = result->status;
    answer.text = result->body;
    answer.body = nlohmann::json::parse(result->body, nullptr, false);
    for (const auto& [name, value] : result->headers)
        answer.headers[name] = value;
    return answer;
}

} // namespace

http_answer get_json(const std::string& url, const std::string& path,
                     milliseconds timeout) {
    return get_json(url, path, http_headers(), timeout);
}

http_answer get_json(const std::string& url, const std::string& path,
                     const http_headers& headers, milliseconds timeout) {
    httplib::Client client = make_client(url, timeout);
    const httplib::Headers raw(headers.begin(), headers.end());
    return to_answer(client.Get(path.c_str(), raw));
}

http_answer post_json(const std::string& url, const std::string& path,
                      const nlohmann::json& body, const http_headers& headers,
                      milliseconds timeout) {
    httplib::Client client = make_client(url, timeout);
    const httplib::Headers raw(headers.begin(), headers.end());
    return to_answer(
        client.Post(path.c_str(), raw, body.dump(), "application/json"));
}

} // namespace ospreystage::support
