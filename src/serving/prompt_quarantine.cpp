#include <ospreystage/core/log.hpp>
#include <ospreystage/serving/prompt_quarantine.hpp>

#include <absl/container/flat_hash_set.h>
#include <fmt/format.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace ospreystage {

namespace {

/// Reports of one server within this time are of the same crash.
constexpr milliseconds same_crash_time{1000};
/// A crash is reported a second time after this delay.
constexpr milliseconds repeat_delay{150};
/// What was reported as sound is not reported again within this time.
constexpr milliseconds reply_interval{1000};
constexpr std::size_t max_crashes = 256;
constexpr std::size_t max_suspects = 64;
/// Parts of one request that are considered, more than any honest one has.
constexpr std::size_t max_parts = 64;
constexpr std::size_t max_quarantined = 64;
constexpr std::size_t max_answered = 4096;
constexpr std::size_t max_reported_sound = 4096;
constexpr std::size_t max_suspected = 4096;
constexpr std::size_t max_outgoing = 256;
/// Items of each kind in one report, so that it fits into a datagram.
constexpr std::size_t max_report_items = 16;

std::uint32_t age_ms(instant at, instant now) {
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, (now - at) / milliseconds(1)));
}

bool has_part(const crash_suspect& suspect, prompt_part part) {
    return std::find(suspect.parts.begin(), suspect.parts.end(), part) !=
           suspect.parts.end();
}

} // namespace

prompt_quarantine::prompt_quarantine(options configuration, std::uint64_t seed)
    : options_(std::move(configuration)), random_(seed),
      answered_parts_(max_answered), answered_requests_(max_answered) {}

// ---- Observers -------------------------------------------------------------

bool prompt_quarantine::is_quarantined(
    const std::vector<prompt_part>& parts) const {
    return !quarantined_.empty() &&
           std::any_of(parts.begin(), parts.end(), [&](prompt_part part) {
               return quarantined_.contains(part);
           });
}

bool prompt_quarantine::is_suspected(prompt_part request) const {
    return !servers_ended_by(request, false).empty();
}

std::vector<quarantined_part>
prompt_quarantine::quarantined(instant now) const {
    std::vector<quarantined_part> result;
    result.reserve(quarantined_.size());
    for (const auto& [part, record] : quarantined_)
        result.push_back({part, age_ms(record.since, now), record.probes});
    return result;
}

std::optional<instant> prompt_quarantine::last_begun(prompt_part part) const {
    std::optional<instant> result = answered(part).last_begun(part);
    const auto reported = reported_sound_.find(part);
    if (reported != reported_sound_.end() &&
        (!result || *result < reported->second))
        result = reported->second;
    return result;
}

/// Returns true if an answer on the part was written shortly before `at`, or
/// later.
bool prompt_quarantine::is_sound(prompt_part part, instant at) const {
    const auto begun = last_begun(part);
    return begun && at - *begun < options_.sound_time;
}

// ---- Judgement -------------------------------------------------------------

bool prompt_quarantine::counts_against(prompt_part part,
                                       const crash_suspect& suspect, instant at,
                                       bool blames_sound) const {
    if (!is_sound(part, at))
        return true;
    const bool are_all_sound =
        std::all_of(suspect.parts.begin(), suspect.parts.end(),
                    [&](prompt_part other) { return is_sound(other, at); });
    return blames_sound && are_all_sound && *last_begun(part) < at;
}

/// Returns true if a quarantined part other than `part` explains the crash.
bool prompt_quarantine::is_explained(const crash_record& crash,
                                     prompt_part part) const {
    return std::any_of(crash.suspects.begin(), crash.suspects.end(),
                       [&](const crash_suspect& suspect) {
                           return std::any_of(
                               suspect.parts.begin(), suspect.parts.end(),
                               [&](prompt_part other) {
                                   return other != part &&
                                          quarantined_.contains(other);
                               });
                       });
}

/// Returns the number of crashes, apart in time and with different requests,
/// that count against a part.
std::size_t prompt_quarantine::crashes_against(prompt_part part,
                                               bool blames_sound) const {
    std::vector<std::uint64_t> requests;
    std::optional<instant> last_counted;
    for (const crash_record& crash : crashes_) {
        const bool is_apart =
            !last_counted || crash.at - *last_counted >= options_.crash_spacing;
        if (!is_apart || is_explained(crash, part))
            continue;
        const auto found = std::find_if(
            crash.suspects.begin(), crash.suspects.end(),
            [&](const crash_suspect& suspect) {
                return has_part(suspect, part) &&
                       counts_against(part, suspect, crash.at, blames_sound) &&
                       std::find(requests.begin(), requests.end(),
                                 suspect.request) == requests.end();
            });
        if (found == crash.suspects.end())
            continue;
        requests.push_back(found->request);
        last_counted = crash.at;
    }
    return requests.size();
}

/// Returns the number of requests with a part each of which crashed two engines
/// one after the other. Engines that end together do not explain it, as the
/// repeat began only after the first of them had ended.
std::size_t prompt_quarantine::repeated_crashes(prompt_part part) const {
    absl::flat_hash_map<std::uint64_t, std::uint64_t> first_servers;
    absl::flat_hash_set<std::uint64_t> repeated;
    for (const crash_record& crash : crashes_) {
        if (is_explained(crash, part))
            continue;
        for (const crash_suspect& suspect : crash.suspects) {
            if (!has_part(suspect, part) ||
                !counts_against(part, suspect, crash.at, false))
                continue;
            const auto [first, is_new] =
                first_servers.try_emplace(suspect.request, crash.server);
            if (!is_new && first->second != crash.server)
                repeated.insert(suspect.request);
        }
    }
    return repeated.size();
}

/// Returns true if several other servers ended without the request at about
/// the same time.
bool prompt_quarantine::is_mass_crash(const crash_record& crash,
                                      prompt_part request) const {
    const auto others = std::count_if(
        crashes_.begin(), crashes_.end(), [&](const crash_record& other) {
            const auto apart =
                std::max(crash.at, other.at) - std::min(crash.at, other.at);
            return other.server != crash.server &&
                   apart < options_.mass_crash_time &&
                   std::none_of(other.suspects.begin(), other.suspects.end(),
                                [&](const crash_suspect& suspect) {
                                    return has_part(suspect, request);
                                });
        });
    return static_cast<std::size_t>(others) >= options_.min_mass_crashes;
}

/// Returns the servers that ended, apart in time, under a whole request.
std::vector<std::uint64_t>
prompt_quarantine::servers_ended_by(prompt_part request,
                                    bool blames_sound) const {
    std::vector<std::uint64_t> servers;
    std::optional<instant> last_counted;
    for (const crash_record& crash : crashes_) {
        const bool counts = std::any_of(
            crash.suspects.begin(), crash.suspects.end(),
            [&](const crash_suspect& suspect) {
                return has_part(suspect, request) &&
                       counts_against(request, suspect, crash.at, blames_sound);
            });
        const bool is_apart =
            !last_counted ||
            crash.at - *last_counted >= options_.request_crash_spacing;
        if (!counts || !is_apart ||
            std::find(servers.begin(), servers.end(), crash.server) !=
                servers.end() ||
            is_explained(crash, request) || is_mass_crash(crash, request))
            continue;
        servers.push_back(crash.server);
        last_counted = crash.at;
    }
    return servers;
}

bool prompt_quarantine::is_guilty(prompt_part part) const {
    if (is_whole_request(part))
        return servers_ended_by(part, false).size() >= options_.min_crashes ||
               servers_ended_by(part, true).size() >=
                   options_.min_crashes_if_sound;
    return crashes_against(part, false) >= options_.min_crashes ||
           repeated_crashes(part) >= options_.min_repeated_crashes ||
           crashes_against(part, true) >= options_.min_crashes_if_sound;
}

/// Quarantines the guilty ones of `parts`, which are in the order of the
/// prompt. The one with most crashes comes first, since it may explain those
/// that count against the others; of equal ones the last in the prompt, since
/// requests that share a part usually share those before it.
void prompt_quarantine::judge(const std::vector<prompt_part>& parts,
                              instant now) {
    struct candidate {
        std::size_t crashes = 0;
        std::size_t crashes_if_sound = 0;
        std::size_t position = 0;
    };
    std::vector<candidate> candidates;
    for (std::size_t position = 0; position < parts.size(); ++position) {
        const prompt_part part = parts[position];
        if (quarantined_.contains(part) || !is_guilty(part))
            continue;
        if (is_whole_request(part))
            quarantine(part, now, 0, "crashes");
        else
            candidates.push_back({crashes_against(part, false),
                                  crashes_against(part, true), position});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const candidate& left, const candidate& right) {
                  return std::tie(left.crashes, left.crashes_if_sound,
                                  left.position) >
                         std::tie(right.crashes, right.crashes_if_sound,
                                  right.position);
              });
    for (const candidate& item : candidates)
        if (is_guilty(parts[item.position]))
            quarantine(parts[item.position], now, 0, "crashes");
}

void prompt_quarantine::quarantine(prompt_part part, instant since,
                                   std::uint32_t probes, const char* source) {
    const auto [found, is_new] = quarantined_.try_emplace(part);
    quarantine_record& record = found->second;
    if (!is_new) {
        record.probes = std::max(record.probes, probes);
        return;
    }
    record = {since, probes, false};
    if (is_whole_request(part))
        log_event(
            log_level::warn, "request_quarantined",
            {{"identity", fmt::format("{:016x}", part)},
             {"source", source},
             {"server_hashes",
              fmt::format("{:016x}",
                          fmt::join(servers_ended_by(part, true), " "))}});
    else
        log_event(log_level::warn, "prompt_part_quarantined",
                  {{"part", fmt::format("{:016x}", part)},
                   {"source", source},
                   {"crashes", crashes_against(part, false)}});
    if (quarantined_.size() <= max_quarantined)
        return;
    const auto oldest =
        std::min_element(quarantined_.begin(), quarantined_.end(),
                         [](const auto& left, const auto& right) {
                             return left.second.since < right.second.since;
                         });
    quarantined_.erase(oldest);
}

// ---- Requests of this entry ------------------------------------------------

prompt_verdict prompt_quarantine::admit(const std::vector<prompt_part>& parts,
                                        instant now) {
    quarantine_record* probed = nullptr;
    for (const prompt_part part : parts) {
        const auto found = quarantined_.find(part);
        if (found == quarantined_.end())
            continue;
        quarantine_record& record = found->second;
        const bool is_probe_due =
            record.probes < options_.probe_times.size() &&
            now - record.since >= options_.probe_times[record.probes] &&
            options_.is_prober && options_.is_prober(part);
        if (!is_probe_due || probed != nullptr)
            return prompt_verdict::quarantined;
        probed = &record;
    }
    if (probed == nullptr)
        return prompt_verdict::admitted;
    ++probed->probes;
    probed->is_probe_unreported = true;
    return prompt_verdict::probe;
}

void prompt_quarantine::on_answered(const std::vector<prompt_part>& parts,
                                    instant begun, instant now) {
    for (const prompt_part part : parts) {
        answered(part).record(part, begun);
        const auto suspected = suspected_.find(part);
        const bool is_quarantined = quarantined_.contains(part);
        if (suspected == suspected_.end() && !is_quarantined)
            continue;
        release(part, begun);
        const auto reported = reported_sound_.find(part);
        // The others know of an answer that began after the last crash.
        if (is_quarantined || reported == reported_sound_.end() ||
            reported->second < suspected->second)
            schedule_reply(part, now);
    }
}

void prompt_quarantine::on_crash(std::uint64_t server, std::uint64_t request,
                                 const std::vector<prompt_part>& parts,
                                 instant now) {
    crash_suspect suspect{request, parts};
    suspect.parts.resize(std::min(suspect.parts.size(), max_parts));
    if (suspect.parts.empty())
        return;
    if (outgoing_.size() < max_outgoing)
        outgoing_.push_back({server, suspect, now, now, false});
    if (add_suspect(server, suspect, now, now))
        judge(suspect.parts, now);
}

bool prompt_quarantine::add_suspect(std::uint64_t server,
                                    const crash_suspect& suspect, instant at,
                                    instant now) {
    drop_old(now);
    const auto same =
        std::find_if(crashes_.begin(), crashes_.end(), [&](const auto& crash) {
            return crash.server == server && at - crash.at < same_crash_time &&
                   crash.at - at < same_crash_time;
        });
    auto position = same;
    if (same == crashes_.end()) {
        position = std::upper_bound(
            crashes_.begin(), crashes_.end(), at,
            [](instant time, const auto& crash) { return time < crash.at; });
        position = crashes_.insert(position, {server, at, {}});
    }
    std::vector<crash_suspect>& suspects = position->suspects;
    const bool is_known = std::any_of(
        suspects.begin(), suspects.end(), [&](const crash_suspect& other) {
            return other.request == suspect.request;
        });
    if (is_known || suspects.size() >= max_suspects)
        return false;
    suspects.push_back(suspect);
    for (const prompt_part part : suspect.parts) {
        if (suspected_.size() >= max_suspected && !suspected_.contains(part))
            continue;
        instant& latest = suspected_[part];
        latest = std::max(latest, at);
        schedule_reply(part, now);
    }
    if (crashes_.size() > max_crashes)
        crashes_.pop_front();
    return true;
}

// ---- Exchange with the other entries ---------------------------------------

void prompt_quarantine::on_report(const prompt_report& report, instant now) {
    for (const sound_part& sound : report.sound)
        clear(sound.part, now - milliseconds(sound.age_ms));
    for (const engine_crash& crash : report.crashes) {
        const instant at = now - milliseconds(crash.age_ms);
        for (const crash_suspect& suspect : crash.suspects) {
            if (suspect.parts.size() > max_parts)
                continue;
            if (add_suspect(crash.server, suspect, at, now))
                judge(suspect.parts, now);
        }
    }
    for (const quarantined_part& item : report.quarantined) {
        const instant since = now - milliseconds(item.age_ms);
        // The other entry may not know yet that the part is sound.
        if (is_sound(item.part, since))
            schedule_reply(item.part, now);
        else
            quarantine(item.part, since, item.probes, "entry");
    }
}

void prompt_quarantine::on_stored(prompt_part part, std::uint32_t probes,
                                  instant now) {
    // The age is not known; the next probe is due soon whatever it is.
    milliseconds age{0};
    if (probes < options_.probe_times.size())
        age = std::max(options_.probe_times[probes] - options_.start_probe_time,
                       milliseconds(0));
    quarantine(part, now - age, probes, "store");
}

/// Records that all entries were told of an answer on the part.
void prompt_quarantine::clear(prompt_part part, instant begun) {
    const auto suspected = suspected_.find(part);
    const auto quarantined = quarantined_.find(part);
    if (suspected == suspected_.end() && quarantined == quarantined_.end())
        return;
    if (reported_sound_.size() < max_reported_sound ||
        reported_sound_.contains(part)) {
        instant& latest = reported_sound_[part];
        latest = std::max(latest, begun);
    }
    release(part, begun);
}

/// Ends the quarantine of a part on which an answer was written.
void prompt_quarantine::release(prompt_part part, instant begun) {
    const auto quarantined = quarantined_.find(part);
    if (quarantined == quarantined_.end() ||
        begun < quarantined->second.since - options_.sound_time ||
        is_guilty(part))
        return;
    if (is_whole_request(part))
        log_event(log_level::info, "request_released",
                  {{"identity", fmt::format("{:016x}", part)}});
    else
        log_event(log_level::info, "prompt_part_released",
                  {{"part", fmt::format("{:016x}", part)}});
    quarantined_.erase(quarantined);
}

/// Schedules a report that a suspected part is sound, if this entry knows it
/// and the others may not.
void prompt_quarantine::schedule_reply(prompt_part part, instant now) {
    const auto own = answered(part).last_begun(part);
    if (!own || now - *own >= options_.sound_time)
        return;
    std::uniform_int_distribution<std::int64_t> delay(
        0, options_.max_reply_delay.count());
    replies_.try_emplace(part, now + milliseconds(delay(random_)));
}

std::optional<prompt_report> prompt_quarantine::take_report(instant now) {
    prompt_report report;
    // New crashes go before those that are repeated.
    std::stable_partition(
        outgoing_.begin(), outgoing_.end(),
        [](const outgoing_crash& item) { return !item.is_repeated; });
    std::vector<outgoing_crash> kept;
    for (outgoing_crash& item : outgoing_) {
        const bool is_due =
            item.due <= now && report.crashes.size() < max_report_items;
        if (is_due)
            report.crashes.push_back(
                {item.server, age_ms(item.at, now), {item.suspect}});
        if (is_due && item.is_repeated)
            continue;
        if (is_due) {
            item.is_repeated = true;
            item.due = now + repeat_delay;
        }
        kept.push_back(std::move(item));
    }
    outgoing_ = std::move(kept);
    absl::erase_if(replies_, [&](const auto& reply) {
        const auto& [part, due] = reply;
        if (due > now || report.sound.size() >= max_report_items)
            return false;
        const auto own = answered(part).last_begun(part);
        const auto reported = reported_sound_.find(part);
        const bool is_known = reported != reported_sound_.end() && own &&
                              *own < reported->second + reply_interval;
        if (own && !is_known)
            report.sound.push_back({part, age_ms(*own, now)});
        return true;
    });
    for (const sound_part& sound : report.sound)
        clear(sound.part, now - milliseconds(sound.age_ms));
    for (auto& [part, record] : quarantined_)
        if (std::exchange(record.is_probe_unreported, false))
            report.quarantined.push_back(
                {part, age_ms(record.since, now), record.probes});
    if (report.crashes.empty() && report.sound.empty() &&
        report.quarantined.empty())
        return std::nullopt;
    return report;
}

std::optional<prompt_report> prompt_quarantine::take_summary(instant now) {
    drop_old(now);
    if (quarantined_.empty())
        return std::nullopt;
    prompt_report report;
    report.quarantined = quarantined(now);
    return report;
}

void prompt_quarantine::drop_old(instant now) {
    while (!crashes_.empty() &&
           now - crashes_.front().at > options_.crash_retention)
        crashes_.pop_front();
    const auto is_old = [&](const auto& item) {
        return now - item.second > options_.crash_retention;
    };
    absl::erase_if(suspected_, is_old);
    absl::erase_if(reported_sound_, is_old);
    absl::erase_if(quarantined_, [&](const auto& item) {
        return now - item.second.since > options_.max_quarantine;
    });
}

} // namespace ospreystage
