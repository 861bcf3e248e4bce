#include <ospreystage/http/message.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace ospreystage {

namespace {

/// Fields that apply to one connection or to the framing of one message.
constexpr std::array<std::string_view, 8> hop_fields{
    "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
    "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length"};

absl::string_view to_absl(std::string_view text) {
    return {text.data(), text.size()};
}

void append_fields(std::string& out, const http_fields& fields) {
    for (const http_field& field : fields) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

std::string encode_status_and_fields(const http_response& response,
                                     bool keep_alive) {
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", response.status,
                                  response.reason.empty()
                                      ? reason_phrase(response.status)
                                      : std::string_view(response.reason));
    append_fields(out, response.fields);
    if (!keep_alive)
        out += "Connection: close\r\n";
    return out;
}

} // namespace

const char* to_string(http_framing framing) noexcept {
    switch (framing) {
    case http_framing::length:
        return "length";
    case http_framing::chunked:
        return "chunked";
    case http_framing::connection:
        return "connection";
    }
    return "unnamed";
}

bool is_same_field(std::string_view left, std::string_view right) noexcept {
    return absl::EqualsIgnoreCase(to_absl(left), to_absl(right));
}

const std::string* find_field(const http_fields& fields,
                              std::string_view name) noexcept {
    for (const http_field& field : fields)
        if (is_same_field(field.name, name))
            return &field.value;
    return nullptr;
}

std::string field_value(const http_fields& fields, std::string_view name) {
    const std::string* value = find_field(fields, name);
    return value == nullptr ? "" : *value;
}

bool is_event_stream(std::string_view content_type) noexcept {
    return absl::StartsWithIgnoreCase(to_absl(content_type),
                                      "text/event-stream");
}

http_response text_response(std::string content_type, std::string body) {
    http_response response;
    response.fields.push_back({"Content-Type", std::move(content_type)});
    response.body = std::move(body);
    return response;
}

void erase_field(http_fields& fields, std::string_view name) {
    std::erase_if(fields, [&](const http_field& field) {
        return is_same_field(field.name, name);
    });
}

void erase_hop_fields(http_fields& fields) {
    std::vector<std::string> listed;
    for (const http_field& field : fields)
        if (is_same_field(field.name, "Connection"))
            for (absl::string_view token : absl::StrSplit(field.value, ','))
                listed.emplace_back(absl::StripAsciiWhitespace(token));
    for (const std::string& name : listed)
        erase_field(fields, name);
    for (const std::string_view name : hop_fields)
        erase_field(fields, name);
}

std::string_view reason_phrase(std::uint16_t status) noexcept {
    const auto phrase = boost::beast::http::obsolete_reason(
        static_cast<boost::beast::http::status>(status));
    return {phrase.data(), phrase.size()};
}

const std::string& body_of(const http_request& request) noexcept {
    return request.shared_body ? *request.shared_body : request.body;
}

http_request with_shared_body(http_request request) {
    request.shared_body =
        std::make_shared<const std::string>(std::move(request.body));
    request.body.clear();
    return request;
}

std::string encode_request_head(const http_request& request,
                                const std::string& host) {
    std::string out = request.method + " " + request.target + " HTTP/1.1\r\n";
    append_fields(out, request.fields);
    if (find_field(request.fields, "Host") == nullptr)
        append_fields(out, {{"Host", host}});
    const bool may_be_empty =
        request.method == "GET" || request.method == "HEAD";
    const std::size_t body_bytes = body_of(request).size();
    if (body_bytes > 0 || !may_be_empty)
        out += fmt::format("Content-Length: {}\r\n", body_bytes);
    return out + "\r\n";
}

std::string encode_request(const http_request& request,
                           const std::string& host) {
    return encode_request_head(request, host) + body_of(request);
}

bool is_bodiless(std::uint16_t status) noexcept {
    constexpr std::uint16_t first_final = 200;
    constexpr std::uint16_t no_content = 204;
    constexpr std::uint16_t not_modified = 304;
    return status < first_final || status == no_content ||
           status == not_modified;
}

std::string encode_response(const http_response& response, bool keep_alive) {
    if (is_bodiless(response.status))
        return encode_status_and_fields(response, keep_alive) + "\r\n";
    return encode_head(response, http_framing::length, keep_alive,
                       response.body.size()) +
           response.body;
}

std::string encode_head_response(const http_response& response,
                                 bool keep_alive) {
    const std::uint64_t body_bytes = response.body.empty()
                                         ? response.content_length.value_or(0)
                                         : response.body.size();
    if (body_bytes > 0 && !is_bodiless(response.status))
        return encode_head(response, http_framing::length, keep_alive,
                           body_bytes);
    return encode_status_and_fields(response, keep_alive) + "\r\n";
}

std::string encode_head(const http_response& response, http_framing framing,
                        bool keep_alive, std::uint64_t body_bytes) {
    std::string out = encode_status_and_fields(response, keep_alive);
    if (framing == http_framing::chunked)
        out += "Transfer-Encoding: chunked\r\n";
    if (framing == http_framing::length)
        out += fmt::format("Content-Length: {}\r\n", body_bytes);
    return out + "\r\n";
}

std::string encode_chunk(std::string_view data) {
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

} // namespace ospreystage
