#include <ospreystage/http/message_parser.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/str_split.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace ospreystage {

namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

/// Limit on the size of a response head, equal to the platform's limit on that
/// of a request.
constexpr std::uint32_t max_response_header_bytes = 64 * 1024;

/// HTTP/1.1 in the form that the parser reports.
constexpr int http_1_1 = 11;

/// Statuses of HTTP (RFC 9110, section 15).
constexpr int min_status = 100;
constexpr int max_status = 599;
/// Answers only a request to change the protocol, which is never sent.
constexpr int status_switching_protocols = 101;
constexpr std::uint16_t status_not_implemented = 501;

/// A body grows by this part of its size.
constexpr std::size_t body_growth_divisor = 4;
/// Memory of a parser without a request.
constexpr std::size_t parser_bytes = 512;

/// The only transfer coding that is understood.
constexpr const char* chunked_coding = "chunked";

std::string to_text(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// Transfer codings of a message (RFC 9112, section 6.1).
enum class transfer_coding : std::uint8_t {
    none,
    chunked,
    unsupported, ///< Chunks of a body in another coding.
    unframed,    ///< The end of the body is not known.
};

transfer_coding transfer_coding_of(const http_fields& fields) {
    std::vector<std::string> codings;
    for (const http_field& field : fields)
        if (is_same_field(field.name, "Transfer-Encoding"))
            for (const absl::string_view coding :
                 absl::StrSplit(field.value, ','))
                codings.emplace_back(absl::StripAsciiWhitespace(coding));
    if (codings.empty())
        return transfer_coding::none;
    const auto is_chunked = [](const std::string& coding) {
        return absl::EqualsIgnoreCase(coding, chunked_coding);
    };
    if (!is_chunked(codings.back()) ||
        std::count_if(codings.begin(), codings.end(), is_chunked) > 1)
        return transfer_coding::unframed;
    return codings.size() == 1 ? transfer_coding::chunked
                               : transfer_coding::unsupported;
}

/// Callbacks that requests and responses share.
template <bool IsRequest>
class parser_base : public beast_http::basic_parser<IsRequest> {
  public:
    bool is_head_complete = false;

  protected:
    using text = boost::beast::string_view;

    virtual http_fields& fields() = 0;
    virtual void append_body(text body) = 0;
    virtual void on_head_complete(error_code&) {}

    void on_field_impl(beast_http::field, text name, text value,
                       error_code&) override {
        // Trailer fields are not part of the head (RFC 9110, section 6.5.1).
        if (!is_head_complete)
            fields().push_back({to_text(name), to_text(value)});
    }
    void on_header_impl(error_code& problem) override {
        is_head_complete = true;
        on_head_complete(problem);
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>&,
                           error_code&) override {}
    std::size_t on_body_impl(text body, error_code&) override {
        append_body(body);
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, text, error_code&) override {}
    std::size_t on_chunk_body_impl(std::uint64_t, text body,
                                   error_code&) override {
        append_body(body);
        return body.size();
    }
    void on_finish_impl(error_code&) override {}
};

/// `max_unparsed_bytes` bounds what has to be kept until it can be parsed: a
/// chunk header or the trailer fields, which the parser itself does not bound.
template <typename Parser>
parse_progress feed_parser(Parser& parser, std::string_view input,
                           std::size_t max_unparsed_bytes) {
    parse_progress progress;
    while (progress.consumed < input.size() && !parser.is_done()) {
        error_code problem;
        const std::size_t used =
            parser.put(boost::asio::buffer(input.data() + progress.consumed,
                                           input.size() - progress.consumed),
                       problem);
        progress.consumed += used;
        if (problem == beast_http::error::need_more)
            break;
        if (problem) {
            progress.failure = problem.message();
            if (problem == beast_http::error::header_limit)
                progress.failure_status = 431;
            if (problem == beast_http::error::body_limit)
                progress.failure_status = 413;
            return progress;
        }
        if (used == 0)
            break;
    }
    progress.is_complete = parser.is_done();
    if (!progress.is_complete &&
        input.size() - progress.consumed > max_unparsed_bytes) {
        progress.failure = fmt::format(
            "chunk header or trailer larger than {} bytes", max_unparsed_bytes);
        progress.failure_status = 431;
    }
    return progress;
}

} // namespace

// ---- Requests --------------------------------------------------------------

struct request_parser::state final : parser_base<true> {
    http_request request;
    std::size_t max_header_bytes = 0;
    /// Of a head that is refused; 0: as for any malformed request.
    std::uint16_t failure_status = 0;

    http_fields& fields() override { return request.fields; }
    std::size_t fields_bytes = 0;

    void append_body(text body) override {
        const std::size_t size = request.body.size() + body.size();
        // Doubling would take up to twice the bytes received.
        if (size > request.body.capacity())
            request.body.reserve(size + size / body_growth_divisor);
        request.body.append(body);
    }
    void on_field_impl(beast_http::field name, text name_text, text value,
                       error_code& problem) override {
        if (!is_head_complete)
            fields_bytes +=
                sizeof(http_field) + name_text.size() + value.size();
        parser_base::on_field_impl(name, name_text, value, problem);
    }
    void on_head_complete(error_code& problem) override {
        request.keep_alive = keep_alive();
        const transfer_coding coding = transfer_coding_of(request.fields);
        if (coding == transfer_coding::unsupported)
            failure_status = status_not_implemented;
        // HTTP/1.0 has no transfer codings.
        if (coding == transfer_coding::unsupported ||
            coding == transfer_coding::unframed ||
            (coding == transfer_coding::chunked && !request.accepts_chunks))
            problem = beast_http::error::bad_transfer_encoding;
    }

    void on_request_impl(beast_http::verb, text method, text target,
                         int version, error_code&) override {
        request.method = to_text(method);
        request.target = to_text(target);
        request.accepts_chunks = version >= http_1_1;
    }
    void on_response_impl(int, text, int, error_code&) override {}
};

request_parser::request_parser(std::size_t max_header_bytes,
                               std::size_t max_body_bytes)
    : state_(std::make_unique<state>()) {
    state_->eager(true);
    state_->max_header_bytes = max_header_bytes;
    state_->header_limit(static_cast<std::uint32_t>(
        std::min<std::size_t>(max_header_bytes, UINT32_MAX)));
    state_->body_limit(max_body_bytes);
}

request_parser::~request_parser() = default;
request_parser::request_parser(request_parser&&) noexcept = default;
request_parser& request_parser::operator=(request_parser&&) noexcept = default;

parse_progress request_parser::feed(std::string_view input) {
    parse_progress progress =
        feed_parser(*state_, input, state_->max_header_bytes);
    if (state_->failure_status != 0)
        progress.failure_status = state_->failure_status;
    return progress;
}

bool request_parser::is_head_complete() const noexcept {
    return state_->is_head_complete;
}

http_request& request_parser::request() noexcept {
    return state_->request;
}

std::size_t request_parser::memory() const noexcept {
    return parser_bytes + state_->fields_bytes +
           state_->request.target.capacity() + state_->request.body.capacity();
}

// ---- Responses -------------------------------------------------------------

struct response_parser::state final : parser_base<false> {
    http_response response;
    body_handler on_body;

    http_fields& fields() override { return response.fields; }
    void append_body(text body) override {
        if (on_body)
            on_body({body.data(), body.size()});
    }
    void on_head_complete(error_code&) override {
        response.keep_alive = keep_alive();
        if (chunked())
            response.framing = http_framing::chunked;
        else if (need_eof())
            response.framing = http_framing::connection;
        else if (const auto length = content_length())
            response.content_length = *length;
    }

    void on_request_impl(beast_http::verb, text, text, int,
                         error_code&) override {}
    void on_response_impl(int status, text reason, int,
                          error_code& problem) override {
        if (status < min_status || status > max_status ||
            status == status_switching_protocols) {
            problem = beast_http::error::bad_status;
            return;
        }
        response.status = static_cast<std::uint16_t>(status);
        response.reason = to_text(reason);
    }
};

response_parser::response_parser(bool is_head_request, body_handler on_body)
    : state_(std::make_unique<state>()) {
    state_->eager(true);
    state_->header_limit(max_response_header_bytes);
    state_->body_limit(boost::none);
    state_->skip(is_head_request);
    state_->on_body = std::move(on_body);
}

response_parser::~response_parser() = default;
response_parser::response_parser(response_parser&&) noexcept = default;
response_parser&
response_parser::operator=(response_parser&&) noexcept = default;

parse_progress response_parser::feed(std::string_view input) {
    return feed_parser(*state_, input, max_response_header_bytes);
}

bool response_parser::finish() {
    if (!state_->is_head_complete)
        return false;
    error_code problem;
    state_->put_eof(problem);
    return !problem && state_->is_done();
}

bool response_parser::is_head_complete() const noexcept {
    return state_->is_head_complete;
}

http_response& response_parser::response() noexcept {
    return state_->response;
}

} // namespace ospreystage
