#include <ospreystage/core/log.hpp>
#include <ospreystage/serving/prompt_quarantine.hpp>

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
/// The list of servers shows the end of a server at most this long after it.
constexpr seconds max_list_lag{10};
constexpr std::size_t max_crashes = 256;
constexpr std::size_t max_listed_ends = 256;
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

/// Adds what another report of the same crash knows. Returns true if that shows
/// a later start of the server.
bool merge(crash_context& known, const crash_context& other) {
    const bool is_later = other.started_unix_ms > known.started_unix_ms;
    known.started_unix_ms =
        std::max(known.started_unix_ms, other.started_unix_ms);
    known.exposure_ms = std::max(known.exposure_ms, other.exposure_ms);
    return is_later;
}

} // namespace

server_end
prompt_quarantine::crash_record::end(const suspect_record& suspect) const {
    return {server, suspect.context.started_unix_ms,
            at - milliseconds(suspect.context.exposure_ms), at};
}

bool prompt_quarantine::crash_record::has_suspect(prompt_part part) const {
    return std::any_of(suspects.begin(), suspects.end(),
                       [&](const suspect_record& suspect) {
                           return has_part(suspect.request, part);
                       });
}

milliseconds prompt_quarantine::crash_record::max_exposure() const {
    std::uint32_t longest_ms = 0;
    for (const suspect_record& suspect : suspects)
        longest_ms = std::max(longest_ms, suspect.context.exposure_ms);
    return milliseconds(longest_ms);
}

bool prompt_quarantine::crash_record::is_of(std::uint64_t service) const {
    return std::any_of(suspects.begin(), suspects.end(),
                       [&](const suspect_record& suspect) {
                           return suspect.context.service == service;
                       });
}

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
    return !evidence_against(request, false).servers.empty();
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
    return std::any_of(
        crash.suspects.begin(), crash.suspects.end(),
        [&](const suspect_record& suspect) {
            const auto& parts = suspect.request.parts;
            return std::any_of(
                parts.begin(), parts.end(), [&](prompt_part other) {
                    return other != part && quarantined_.contains(other);
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
            [&](const suspect_record& suspect) {
                return has_part(suspect.request, part) &&
                       counts_against(part, suspect.request, crash.at,
                                      blames_sound) &&
                       std::find(requests.begin(), requests.end(),
                                 suspect.request.request) == requests.end();
            });
        if (found == crash.suspects.end())
            continue;
        requests.push_back(found->request.request);
        last_counted = crash.at;
    }
    return requests.size();
}

/// Returns the number of requests with a part each of which crashed two engines
/// one after the other. Engines that end together do not explain it, as the
/// repeat began only after the first of them had ended.
std::size_t prompt_quarantine::repeated_crashes(prompt_part part) const {
    absl::flat_hash_map<std::uint64_t, crash_series> ends; // By request.
    for (const crash_record& crash : crashes_) {
        if (is_explained(crash, part))
            continue;
        for (const suspect_record& suspect : crash.suspects)
            if (has_part(suspect.request, part) &&
                counts_against(part, suspect.request, crash.at, false))
                ends[suspect.request.request].add(crash.end(suspect));
    }
    return static_cast<std::size_t>(
        std::count_if(ends.begin(), ends.end(), [](const auto& request) {
            return request.second.size() > 1;
        }));
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
                   !other.has_suspect(request);
        });
    return static_cast<std::size_t>(others) >= options_.min_mass_crashes;
}

/// Returns the suspect of a crash that is the whole request, unless something
/// else shows that it is not the cause.
const prompt_quarantine::suspect_record*
prompt_quarantine::find_culprit(const crash_record& crash, prompt_part request,
                                bool blames_sound) const {
    const auto found =
        std::find_if(crash.suspects.begin(), crash.suspects.end(),
                     [&](const suspect_record& suspect) {
                         return has_part(suspect.request, request) &&
                                counts_against(request, suspect.request,
                                               crash.at, blames_sound);
                     });
    return found == crash.suspects.end() || is_mass_crash(crash, request)
               ? nullptr
               : &*found;
}

/// Returns the ends of servers, apart in time, under a whole request.
prompt_quarantine::request_evidence
prompt_quarantine::evidence_against(prompt_part request,
                                    bool blames_sound) const {
    request_evidence result;
    crash_series ends;
    for (const crash_record& crash : crashes_) {
        const suspect_record* suspect =
            find_culprit(crash, request, blames_sound);
        const bool is_apart =
            result.servers.empty() ||
            crash.at - result.last >= options_.request_crash_spacing;
        if (suspect == nullptr || !is_apart || is_explained(crash, request) ||
            !ends.add(crash.end(*suspect)))
            continue;
        if (result.servers.empty()) {
            result.first = crash.at;
            result.service = suspect->context.service;
        }
        result.servers.push_back(crash.server);
        result.exposure += milliseconds(suspect->context.exposure_ms);
        result.last = crash.at;
    }
    return result;
}

/// Returns the crashes with the request and those of its service without it.
crash_sample prompt_quarantine::sample_of(prompt_part request,
                                          const request_evidence& evidence,
                                          bool blames_sound) const {
    crash_sample sample;
    sample.crashes = evidence.servers.size();
    sample.exposure = evidence.exposure;
    const instant from = evidence.first - options_.chance_lead;
    milliseconds down_time{};
    milliseconds seen_up{};
    for (const crash_record& crash : crashes_) {
        if (crash.at < from || crash.at > evidence.last ||
            !crash.is_of(evidence.service))
            continue;
        down_time += options_.restart_time;
        seen_up += crash.max_exposure();
        if (find_culprit(crash, request, blames_sound) == nullptr &&
            !is_explained(crash, request))
            ++sample.other_crashes;
    }
    for (const listed_end& end : listed_ends_) {
        if (end.at < from || end.service != evidence.service)
            continue;
        down_time += options_.restart_time;
        ++sample.other_crashes;
    }
    const auto span =
        std::chrono::duration_cast<milliseconds>(evidence.last - from);
    const std::size_t servers =
        options_.servers ? options_.servers(evidence.service) : 1;
    sample.server_time = std::max(
        span * static_cast<int>(std::max<std::size_t>(servers, 1)) - down_time,
        seen_up);
    return sample;
}

bool prompt_quarantine::is_guilty_request(prompt_part request,
                                          bool blames_sound) const {
    const request_evidence evidence = evidence_against(request, blames_sound);
    const std::size_t needed =
        blames_sound ? options_.min_crashes_if_sound : options_.min_crashes;
    return evidence.servers.size() >= needed &&
           chance_bound(sample_of(request, evidence, blames_sound)) <
               options_.max_chance;
}

nlohmann::json prompt_quarantine::describe_evidence(prompt_part request,
                                                    bool blames_sound) const {
    const request_evidence evidence = evidence_against(request, blames_sound);
    const crash_sample sample = sample_of(request, evidence, blames_sound);
    return {{"identity", fmt::format("{:016x}", request)},
            {"server_hashes",
             fmt::format("{:016x}", fmt::join(evidence.servers, " "))},
            {"exposure_ms", sample.exposure.count()},
            {"other_crashes", sample.other_crashes},
            {"server_time_ms", sample.server_time.count()},
            {"chance", chance_bound(sample)}};
}

/// Logs that a request is not quarantined although enough servers have ended
/// under it.
void prompt_quarantine::log_spared(prompt_part request) const {
    if (evidence_against(request, false).servers.size() >= options_.min_crashes)
        log_event(log_level::info, "request_spared",
                  describe_evidence(request, false));
}

bool prompt_quarantine::is_guilty(prompt_part part) const {
    if (is_whole_request(part))
        return is_guilty_request(part, false) || is_guilty_request(part, true);
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
        if (quarantined_.contains(part))
            continue;
        if (!is_guilty(part)) {
            if (is_whole_request(part))
                log_spared(part);
            continue;
        }
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
    if (is_whole_request(part)) {
        auto fields = describe_evidence(part, true);
        fields["source"] = source;
        log_event(log_level::warn, "request_quarantined", fields);
    } else
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
                                 instant now, const crash_context& context) {
    suspect_record suspect{{request, parts}, context};
    std::vector<prompt_part>& kept = suspect.request.parts;
    kept.resize(std::min(kept.size(), max_parts));
    if (kept.empty())
        return;
    if (outgoing_.size() < max_outgoing)
        outgoing_.push_back({server, suspect, now, now, false});
    if (add_suspect(server, suspect, now, now))
        judge(kept, now);
}

/// Returns the crash of a server that cut a suspect, if it is known. A request
/// was cut by the first end of its server after it was sent, however late that
/// was noticed.
std::deque<prompt_quarantine::crash_record>::iterator
prompt_quarantine::find_crash(std::uint64_t server,
                              const suspect_record& suspect, instant at) {
    const bool is_request =
        std::any_of(suspect.request.parts.begin(), suspect.request.parts.end(),
                    is_whole_request);
    const instant sent = at - milliseconds(suspect.context.exposure_ms);
    const auto is_cause = [&](const crash_record& crash) {
        return crash.server == server && crash.at > sent && crash.at <= at;
    };
    if (is_request) {
        const auto cause =
            std::find_if(crashes_.begin(), crashes_.end(), is_cause);
        if (cause != crashes_.end())
            return cause;
    }
    return std::find_if(
        crashes_.begin(), crashes_.end(), [&](const crash_record& crash) {
            return crash.server == server && at - crash.at < same_crash_time &&
                   crash.at - at < same_crash_time;
        });
}

void prompt_quarantine::on_listed_end(std::uint64_t server,
                                      std::uint64_t service, instant now) {
    const bool is_known =
        std::any_of(crashes_.begin(), crashes_.end(), [&](const auto& crash) {
            return crash.server == server && now - crash.at < max_list_lag;
        });
    if (is_known)
        return;
    listed_ends_.push_back({service, now});
    if (listed_ends_.size() > max_listed_ends)
        listed_ends_.pop_front();
}

bool prompt_quarantine::add_suspect(std::uint64_t server,
                                    const suspect_record& suspect, instant at,
                                    instant now) {
    drop_old(now);
    const auto same = find_crash(server, suspect, at);
    auto position = same;
    if (same == crashes_.end()) {
        position = std::upper_bound(
            crashes_.begin(), crashes_.end(), at,
            [](instant time, const auto& crash) { return time < crash.at; });
        position = crashes_.insert(position, {server, at, {}});
    }
    suspect_record added = suspect;
    const instant sent = at - milliseconds(suspect.context.exposure_ms);
    added.context.exposure_ms = age_ms(sent, position->at);
    std::vector<suspect_record>& suspects = position->suspects;
    const auto known = std::find_if(
        suspects.begin(), suspects.end(), [&](const suspect_record& other) {
            return other.request.request == suspect.request.request;
        });
    if (known != suspects.end())
        return merge(known->context, added.context);
    if (suspects.size() >= max_suspects)
        return false;
    suspects.push_back(std::move(added));
    for (const prompt_part part : suspect.request.parts) {
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
            if (add_suspect(crash.server, {suspect, crash.context}, at, now))
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
            report.crashes.push_back({item.server,
                                      age_ms(item.at, now),
                                      {item.suspect.request},
                                      item.suspect.context});
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
    while (!listed_ends_.empty() &&
           now - listed_ends_.front().at > options_.crash_retention)
        listed_ends_.pop_front();
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
