#include <ospreystage/impl/kv_json.hpp>
#include <ospreystage/rollout/acceptance.hpp>
#include <ospreystage/store/kv_watch.hpp>

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <catch2/catch.hpp>
#include <httplib.h>

#include <atomic>
#include <functional>
#include <thread>
#include <vector>

using namespace ospreystage;

namespace {

using json_value = nlohmann::json;

constexpr milliseconds call_timeout{200};

/// Stand-in of the JSON gateway: an HTTP server on a free loopback port, with
/// handlers set by the test.
class gateway {
  public:
    gateway() { port_ = server_.bind_to_any_port("127.0.0.1"); }
    ~gateway() { stop(); }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    void start() {
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        while (!server_.is_running())
            std::this_thread::sleep_for(milliseconds(1));
    }
    void stop() {
        stopped_ = true;
        server_.stop();
        if (thread_.joinable())
            thread_.join();
    }
    void post(const std::string& path, httplib::Server::Handler handler) {
        server_.Post(path, std::move(handler));
    }
    /// Blocks the handler until `time` has passed or the server stops.
    void hold_response(milliseconds time) const {
        const instant end = steady::now() + time;
        while (!stopped_ && steady::now() < end)
            std::this_thread::sleep_for(milliseconds(5));
    }
    [[nodiscard]] std::string url() const {
        return "http://127.0.0.1:" + std::to_string(port_);
    }
    [[nodiscard]] kv_client client() const { return {url(), call_timeout}; }

  private:
    httplib::Server server_;
    int port_ = 0;
    std::thread thread_;
    std::atomic<bool> stopped_{false};
};

std::string range_answer(const std::string& value, int revision) {
    return json_value{{"header", {{"revision", std::to_string(revision)}}},
                      {"kvs",
                       {{{"key", impl::to_base64("k")},
                         {"value", impl::to_base64(value)},
                         {"mod_revision", std::to_string(revision)}}}}}
        .dump();
}

error write_failure(const kv_client& client) {
    error failure;
    const auto outcome =
        value_or_error([&] { return client.write_if("k", 3, "v"); }, failure);
    REQUIRE_FALSE(outcome.has_value());
    return failure;
}

/// Collects the values that a watch reports; absent keys count as empty.
class value_log {
  public:
    void add(const kv_reading& reading) {
        const absl::MutexLock lock(&mutex_);
        values_.push_back(reading.entry ? reading.entry->value : "");
    }
    bool wait_for(const std::string& value, milliseconds limit) {
        const auto is_there = [&] {
            mutex_.AssertHeld();
            return std::find(values_.begin(), values_.end(), value) !=
                   values_.end();
        };
        const absl::MutexLock lock(&mutex_);
        return mutex_.AwaitWithTimeout(absl::Condition(&is_there),
                                       absl::FromChrono(limit));
    }

  private:
    absl::Mutex mutex_;
    std::vector<std::string> values_;
};

} // namespace

TEST_CASE("kv_client - a read decodes value and revisions") {
    gateway platform;
    platform.post("/v3/kv/range", [](const httplib::Request& request,
                                     httplib::Response& answer) {
        const auto key = json_value::parse(request.body).at("key");
        CHECK(impl::from_base64(key) == "k");
        answer.set_content(range_answer("hello", 12), "application/json");
    });
    platform.start();
    error failure;
    const auto reading =
        value_or_error([&] { return platform.client().read("k"); }, failure);
    REQUIRE(reading.has_value());
    CHECK(reading->store_revision == 12);
    CHECK(reading->entry == kv_entry{"hello", 12});
}

TEST_CASE("kv_client - a compare-and-swap reports success and conflict") {
    gateway platform;
    platform.post("/v3/kv/txn", [](const httplib::Request& request,
                                   httplib::Response& answer) {
        const auto body = json_value::parse(request.body);
        const auto& compare = body.at("compare").at(0);
        CHECK(compare.at("target") == "MOD");
        CHECK(compare.at("result") == "EQUAL");
        const bool succeeded = compare.at("mod_revision") == "3";
        json_value result{{"succeeded", succeeded}};
        if (!succeeded)
            result["responses"] = {
                {{"response_range", json_value::parse(range_answer("x", 9))}}};
        answer.set_content(result.dump(), "application/json");
    });
    platform.start();
    error failure;
    const auto written = value_or_error(
        [&] { return platform.client().write_if("k", 3, "v"); }, failure);
    REQUIRE(written.has_value());
    CHECK(std::holds_alternative<kv_written>(*written));
    const auto lost = value_or_error(
        [&] { return platform.client().write_if("k", 4, "v"); }, failure);
    REQUIRE(lost.has_value());
    REQUIRE(std::holds_alternative<kv_conflict>(*lost));
    CHECK(std::get<kv_conflict>(*lost).current == kv_entry{"x", 9});
}

TEST_CASE("kv_client - a refused connection has no effect") {
    const kv_client client("http://127.0.0.1:1", call_timeout);
    const error failure = write_failure(client);
    CHECK(failure.code == error_code::unavailable);
    CHECK(failure.step == "kv.write");
    CHECK(failure.peer == "http://127.0.0.1:1");
}

TEST_CASE("kv_client - a write that times out has an unknown effect") {
    gateway platform;
    platform.post("/v3/kv/txn",
                  [&](const httplib::Request&, httplib::Response&) {
                      platform.hold_response(seconds(2));
                  });
    platform.start();
    const instant begin = steady::now();
    CHECK(write_failure(platform.client()).code == error_code::unknown_effect);
    CHECK(steady::now() - begin < seconds(1));
    platform.stop();
}

TEST_CASE("kv_client - a server error leaves the effect unknown, a refusal "
          "does not") {
    gateway platform;
    std::atomic<int> status{503};
    platform.post("/v3/kv/txn",
                  [&](const httplib::Request&, httplib::Response& answer) {
                      answer.status = status;
                  });
    platform.start();
    CHECK(write_failure(platform.client()).code == error_code::unknown_effect);
    status = 429;
    CHECK(write_failure(platform.client()).code == error_code::overloaded);
    status = 400;
    CHECK(write_failure(platform.client()).code ==
          error_code::invalid_argument);
}

TEST_CASE("kv_watch - an event is reported") {
    gateway platform;
    platform.post(
        "/v3/kv/range", [](const httplib::Request&, httplib::Response& answer) {
            answer.set_content(range_answer("first", 5), "application/json");
        });
    std::atomic<int> start_revision{0};
    platform.post("/v3/watch", [&](const httplib::Request& request,
                                   httplib::Response& answer) {
        const auto body = json_value::parse(request.body);
        start_revision = std::stoi(
            body.at("create_request").at("start_revision").get<std::string>());
        answer.set_chunked_content_provider(
            "application/json", [&](std::size_t, httplib::DataSink& sink) {
                const json_value event{
                    {"result",
                     {{"header", {{"revision", "6"}}},
                      {"events",
                       {{{"type", "PUT"},
                         {"kv",
                          {{"value", impl::to_base64("second")},
                           {"mod_revision", "6"}}}}}}}}};
                const std::string line = R"({"result":{"created":true}})"
                                         "\n" +
                                         event.dump() + "\n";
                // A line may arrive in several pieces.
                sink.write(line.data(), 40);
                platform.hold_response(milliseconds(20));
                sink.write(line.data() + 40, line.size() - 40);
                platform.hold_response(seconds(5));
                sink.done();
                return true;
            });
    });
    platform.start();
    value_log log;
    {
        const kv_watch watch(
            platform.client(), "k", seconds(2),
            [&](const kv_reading& reading) { log.add(reading); },
            [](const error&) {});
        CHECK(log.wait_for("first", seconds(2)));
        CHECK(log.wait_for("second", seconds(2)));
        CHECK(start_revision == 6);
    }
    platform.stop();
}

TEST_CASE(
    "kv_watch - a silent connection is replaced and a missed change read") {
    gateway platform;
    std::atomic<bool> changed{false};
    platform.post("/v3/kv/range",
                  [&](const httplib::Request&, httplib::Response& answer) {
                      answer.set_content(changed ? range_answer("second", 6)
                                                 : range_answer("first", 5),
                                         "application/json");
                  });
    std::atomic<int> watches{0};
    platform.post(
        "/v3/watch", [&](const httplib::Request&, httplib::Response& answer) {
            ++watches;
            answer.set_chunked_content_provider(
                "application/json", [&](std::size_t, httplib::DataSink& sink) {
                    platform.hold_response(seconds(30));
                    sink.done();
                    return true;
                });
        });
    platform.start();
    constexpr milliseconds silence_timeout{300};
    value_log log;
    {
        const kv_watch watch(
            platform.client(), "k", silence_timeout,
            [&](const kv_reading& reading) { log.add(reading); },
            [](const error&) {});
        REQUIRE(log.wait_for("first", seconds(2)));
        changed = true;
        CHECK(log.wait_for("second", 4 * silence_timeout));
    }
    CHECK(watches >= 1);
    platform.stop();
}
