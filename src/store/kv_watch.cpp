#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/impl/kv_json.hpp>
#include <ospreystage/store/kv_watch.hpp>

#include <absl/time/time.h>

#include <exception>
#include <utility>

namespace ospreystage {

namespace {

using json_value = nlohmann::json;

/// Delay between a failed read or watch and the retry.
constexpr absl::Duration retry_delay = absl::Milliseconds(500);

/// Maximum age of a watch connection, in multiples of the silence timeout. An
/// active connection is replaced as well, so that a new read verifies the
/// events that it delivered.
constexpr int max_watch_silence_timeouts = 4;

constexpr std::size_t max_line_bytes = 4 * 1024 * 1024;

std::string create_request(const std::string& key,
                           std::int64_t start_revision) {
    const json_value body{
        {"create_request",
         {{"key", impl::to_base64(key)},
          {"start_revision", std::to_string(start_revision)}}}};
    return body.dump();
}

} // namespace

kv_watch::kv_watch(kv_client client, std::string key,
                   milliseconds silence_timeout, entry_handler on_entry,
                   failure_handler on_failure)
    : client_(std::move(client)), key_(std::move(key)),
      silence_timeout_(silence_timeout), on_entry_(std::move(on_entry)),
      on_failure_(std::move(on_failure)), thread_([this] { run(); }) {}

kv_watch::~kv_watch() {
    std::shared_ptr<blocking_client> connection;
    {
        const absl::MutexLock lock(&mutex_);
        stopped_ = true;
        connection = connection_;
    }
    if (connection)
        connection->stop();
    thread_.join();
}

void kv_watch::run() {
    while (!is_stopped()) {
        std::int64_t start_revision = 0;
        if (read_key(start_revision))
            follow(start_revision);
        else
            wait_before_retry();
    }
}

bool kv_watch::read_key(std::int64_t& start_revision) {
    error failure;
    const auto reading =
        value_or_error([&] { return client_.read(key_); }, failure);
    if (!reading) {
        on_failure_(failure);
        return false;
    }
    start_revision = reading->store_revision + 1;
    on_entry_(*reading);
    return true;
}

void kv_watch::follow(std::int64_t start_revision) {
    auto connection = std::make_shared<blocking_client>(client_.url());
    {
        const absl::MutexLock lock(&mutex_);
        if (stopped_)
            return;
        connection_ = connection;
    }
    const instant opened_at = steady::now();
    call_options options;
    options.connect_timeout = client_.call_timeout();
    options.idle_timeout = silence_timeout_;
    options.timeout = max_watch_silence_timeouts * silence_timeout_;
    std::string buffer;
    const auto answer = connection->follow(
        make_json_post("/v3/watch", create_request(key_, start_revision)),
        options, [&](std::string_view data) {
            buffer.append(data);
            return process_lines(buffer) && !is_stopped();
        });
    {
        const absl::MutexLock lock(&mutex_);
        connection_.reset();
    }
    // A watch that lasted for the silence timeout has ended by silence or age,
    // which is no failure; one that ended earlier has failed.
    if (steady::now() - opened_at >= silence_timeout_ || is_stopped())
        return;
    on_failure_({error_code::unavailable, "kv.watch", client_.url(),
                 answer.end == call_end::complete
                     ? "HTTP status " + std::to_string(answer.response.status)
                     : to_string(answer.end)});
    wait_before_retry();
}

bool kv_watch::process_lines(std::string& buffer) {
    for (;;) {
        const std::size_t end = buffer.find('\n');
        if (end == std::string::npos)
            return buffer.size() <= max_line_bytes;
        const std::string line = buffer.substr(0, end);
        buffer.erase(0, end + 1);
        if (!line.empty() && !process_line(line))
            return false;
    }
}

bool kv_watch::process_line(const std::string& line) {
    try {
        const auto parsed = json_value::parse(line);
        const json_value& result = parsed.at("result");
        if (result.value("canceled", false))
            return false;
        const std::int64_t revision = impl::read_int64(
            result.value("header", json_value::object()), "revision");
        for (const json_value& event :
             result.value("events", json_value::array())) {
            if (event.value("type", "PUT") == "PUT")
                on_entry_({impl::parse_kv_entry(event.at("kv")), revision});
        }
        return true;
    } catch (const std::exception& problem) {
        on_failure_(
            {error_code::malformed, "kv.watch", client_.url(), problem.what()});
        return false;
    }
}

bool kv_watch::is_stopped() const {
    const absl::MutexLock lock(&mutex_);
    return stopped_;
}

void kv_watch::wait_before_retry() {
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&stopped_), retry_delay);
}

} // namespace ospreystage
