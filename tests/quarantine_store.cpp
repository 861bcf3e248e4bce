#include "platform/quarantine_store.hpp"

#include "tests/support/platform_store.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace ospreystage;
using namespace ospreystage::platform;
using testing::platform_store;

namespace {

constexpr seconds timeout{8};
constexpr milliseconds call_timeout{1000};
constexpr prompt_part part = 0xbad0cafe;
constexpr const char* part_key = "ospreystage/quarantine/00000000bad0cafe";
const std::vector<prompt_part> parts{part};

/// One entry's quarantine and its copy in the store.
class entry_quarantine {
  public:
    explicit entry_quarantine(platform_store& store, bool is_keeper = true)
        : client(web, store.endpoint(), call_timeout),
          kept(core, client, quarantine,
               [is_keeper](prompt_part) { return is_keeper; }) {
        core.post("test", [this] { kept.start(); });
    }

    /// Runs until `condition` holds; returns false if it does not in time.
    bool run_until(const std::function<bool()>& condition) {
        bool holds = false;
        core.every("test", milliseconds(5), [&] {
            holds = condition();
            if (holds)
                core.stop();
        });
        core.after("test", timeout, [&] { core.stop(); });
        core.run();
        return holds;
    }

    void quarantine_part() {
        prompt_report report;
        report.quarantined.push_back({part, 0, 0});
        quarantine.on_report(report, steady::now());
    }

    kernel core;
    web_client web{core};
    prompt_quarantine quarantine{{}, 1};
    store_client client;
    quarantine_store kept;
};

} // namespace

TEST_CASE("quarantine store - entries that all start anew know the parts that "
          "crash engines, though the store was away for a while") {
    platform_store store;
    {
        entry_quarantine before(store);
        before.quarantine_part();
        store.fail_next("/v1/kv-txn", 2, 503);
        CHECK(before.run_until(
            [&] { return store.value(part_key).has_value(); }));
    }
    store.fail_next("/v1/kv-range", 2, 503);
    entry_quarantine after(store);
    CHECK_FALSE(after.quarantine.is_quarantined(parts));
    CHECK(after.run_until(
        [&] { return after.quarantine.is_quarantined(parts); }));
}

TEST_CASE(
    "quarantine store - a part that was released is removed, and one that "
    "cannot be read is passed over") {
    platform_store store;
    store.put(part_key, "1");
    store.put("ospreystage/quarantine/nonsense", "1");
    entry_quarantine entry(store);
    bool is_answered = false;
    CHECK(entry.run_until([&] {
        if (entry.quarantine.is_quarantined(parts) && !is_answered) {
            const instant now = steady::now();
            entry.quarantine.on_answered(parts, now, now);
            is_answered = true;
        }
        return is_answered && !store.value(part_key).has_value();
    }));
    CHECK(entry.quarantine.size() == 0);
}

TEST_CASE("quarantine store - only the keeper of a part writes it") {
    platform_store store;
    entry_quarantine other(store, false);
    other.quarantine_part();
    const instant started = steady::now();
    CHECK(other.run_until(
        [&] { return steady::now() - started > milliseconds(1200); }));
    CHECK(store.calls("/v1/kv-txn") == 0);
    CHECK(store.calls("/v1/kv-range") == 1);
}
