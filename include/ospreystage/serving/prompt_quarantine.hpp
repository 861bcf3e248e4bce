#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/whole_request.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/crash_series.hpp>
#include <ospreystage/serving/sound_parts.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <random>
#include <vector>

namespace ospreystage {

/// Whether a request may be sent, judging by the parts of its prompt.
enum class prompt_verdict : std::uint8_t {
    admitted,
    probe,       ///< Sent once to find out whether the part still crashes.
    quarantined, ///< It would crash the engine that begins it.
};

/// Finds parts of prompts that crash every engine which begins an answer on
/// them, and whole requests that end every server which begins them, and
/// quarantines them. A whole request is one more part, which no other request
/// has.
///
/// Answers the load of callers who keep sending such requests at all entries,
/// among sound ones that share callers and other parts with them, while engines
/// also end for other reasons. Each entry records the requests whose answer had
/// just begun when their engine ended, and sends these records to all others.
/// A crash counts against the parts of such a request on which no engine has
/// written an answer lately. A part is quarantined once enough crashes, apart
/// in time and with different requests, count against it and no other part
/// explains them. An answer that is written clears its parts.
///
/// A whole request comes again with the same part, so that it is known by the
/// servers that have ended under it, one after the other. A server that has
/// started again since counts again, also if it keeps its id. Where several
/// servers end together, most of them without it, it is not the cause. Nor is
/// it where servers end so often without it that it may have met their ends by
/// chance in its time there.
///
/// All tables are bounded, and callers who invent parts cannot fill them: a
/// record takes a crash, and answered parts are kept by use.
class prompt_quarantine {
  public:
    struct options {
        /// Crashes with different requests after which a part is quarantined.
        std::size_t min_crashes = 3;
        /// The same for a part that had been sound, while all other parts of
        /// these requests are sound too.
        std::size_t min_crashes_if_sound = 5;
        /// Requests that crashed two engines each, one after the other, after
        /// which a part is quarantined.
        std::size_t min_repeated_crashes = 2;
        /// Crashes within this time count once: several engines that end
        /// together have one cause, which is not a prompt.
        milliseconds crash_spacing{100};
        /// The same for a whole request, whose repeat at the next server may
        /// end that one sooner.
        milliseconds request_crash_spacing{40};
        /// A whole request is quarantined only if its crashes are less likely
        /// than this to be a coincidence.
        double max_chance = 1e-5;
        /// Crashes without a whole request are counted from this long before
        /// the first one with it.
        milliseconds chance_lead{10'000};
        /// Time for which a server is down after a crash, on average.
        milliseconds restart_time{3000};
        /// A crash does not count against a whole request if this many other
        /// servers ended without it within `mass_crash_time`.
        std::size_t min_mass_crashes = 2;
        milliseconds mass_crash_time{200};
        /// A part on which an answer was written counts as sound for this long.
        milliseconds sound_time{10'000};
        /// Crashes are forgotten after this time.
        milliseconds crash_retention{600'000};
        /// Ages of a quarantine at which one request each is let through.
        std::vector<milliseconds> probe_times{seconds(30), seconds(300)};
        /// Time after a start within which a part that was quarantined before
        /// is probed, if it has a probe left: it may hold back sound requests.
        milliseconds start_probe_time{3000};
        /// A quarantine ends after this time.
        milliseconds max_quarantine{3'600'000};
        /// What this entry knows to be sound is sent to the others within this
        /// time after a crash counts against it, unless one of them did.
        milliseconds max_reply_delay{200};
        /// Returns true if this entry is the one that probes a part.
        std::function<bool(prompt_part)> is_prober;
        /// Returns the number of servers of a service, by the hash of its name;
        /// 1 if it is not set.
        std::function<std::size_t(std::uint64_t)> servers = nullptr;
    };

    prompt_quarantine(options configuration, std::uint64_t seed);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool
    is_quarantined(const std::vector<prompt_part>& parts) const;
    /// Returns true if a server has ended under the whole request, and no
    /// answer to it is known since.
    [[nodiscard]] bool is_suspected(prompt_part request) const;
    [[nodiscard]] std::vector<quarantined_part> quarantined(instant now) const;
    [[nodiscard]] std::size_t size() const noexcept {
        return quarantined_.size();
    }

    // ---- Requests of this entry --------------------------------------------

    /// Decides on a request that has not been sent before.
    [[nodiscard]] prompt_verdict admit(const std::vector<prompt_part>& parts,
                                       instant now);

    /// Records that an engine has written an answer which began at `begun`.
    void on_answered(const std::vector<prompt_part>& parts, instant begun,
                     instant now);

    /// Records that `server` ended just after it had begun to answer `request`.
    void on_crash(std::uint64_t server, std::uint64_t request,
                  const std::vector<prompt_part>& parts, instant now,
                  const crash_context& context = {});

    /// Records that the list of servers shows the end of a server, which may
    /// have had no request. `service` is the hash of its name.
    void on_listed_end(std::uint64_t server, std::uint64_t service,
                       instant now);

    // ---- Exchange with the other entries -----------------------------------

    void on_report(const prompt_report& report, instant now);

    /// Quarantines a part that was quarantined before this entry started, and
    /// that `probes` requests have probed.
    void on_stored(prompt_part part, std::uint32_t probes, instant now);

    /// Returns what all other entries should learn now, if anything. Crashes
    /// are returned twice, since datagrams may be lost; each entry judges them
    /// for itself.
    [[nodiscard]] std::optional<prompt_report> take_report(instant now);

    /// Returns the quarantine for an entry that may have started lately or
    /// missed a report; nothing if it is empty.
    [[nodiscard]] std::optional<prompt_report> take_summary(instant now);

  private:
    /// A request that was at a server when it ended.
    struct suspect_record {
        crash_suspect request;
        crash_context context;
    };
    struct crash_record {
        std::uint64_t server = 0;
        instant at{};
        std::vector<suspect_record> suspects;

        [[nodiscard]] server_end end(const suspect_record& suspect) const;
        [[nodiscard]] bool has_suspect(prompt_part part) const;
        [[nodiscard]] bool is_of(std::uint64_t service) const;
        [[nodiscard]] milliseconds max_exposure() const;
    };
    /// End of a server that no request was suspected of.
    struct listed_end {
        std::uint64_t service = 0;
        instant at{}; ///< When the list showed it.
    };
    /// The crashes that count against a whole request.
    struct request_evidence {
        std::vector<std::uint64_t> servers; ///< Hashes, in order of the ends.
        milliseconds exposure{};
        std::uint64_t service = 0; ///< Hash of the name.
        instant first{};
        instant last{};
    };
    struct quarantine_record {
        instant since{};
        std::uint32_t probes = 0;
        bool is_probe_unreported = false;
    };
    /// A crash that this entry has to report.
    struct outgoing_crash {
        std::uint64_t server = 0;
        suspect_record suspect;
        instant at{};
        instant due{};
        bool is_repeated = false;
    };

    [[nodiscard]] std::optional<instant> last_begun(prompt_part part) const;
    [[nodiscard]] bool is_sound(prompt_part part, instant at) const;
    [[nodiscard]] bool counts_against(prompt_part part,
                                      const crash_suspect& suspect, instant at,
                                      bool blames_sound) const;
    [[nodiscard]] bool is_explained(const crash_record& crash,
                                    prompt_part part) const;
    [[nodiscard]] std::size_t crashes_against(prompt_part part,
                                              bool blames_sound) const;
    [[nodiscard]] std::size_t repeated_crashes(prompt_part part) const;
    [[nodiscard]] bool is_mass_crash(const crash_record& crash,
                                     prompt_part request) const;
    [[nodiscard]] const suspect_record* find_culprit(const crash_record& crash,
                                                     prompt_part request,
                                                     bool blames_sound) const;
    [[nodiscard]] request_evidence evidence_against(prompt_part request,
                                                    bool blames_sound) const;
    [[nodiscard]] crash_sample sample_of(prompt_part request,
                                         const request_evidence& evidence,
                                         bool blames_sound) const;
    [[nodiscard]] bool is_guilty_request(prompt_part request,
                                         bool blames_sound) const;
    /// Returns the fields of a log line that explain a judgement.
    [[nodiscard]] nlohmann::json describe_evidence(prompt_part request,
                                                   bool blames_sound) const;
    void log_spared(prompt_part request) const;
    [[nodiscard]] bool is_guilty(prompt_part part) const;
    [[nodiscard]] std::deque<crash_record>::iterator
    find_crash(std::uint64_t server, const suspect_record& suspect, instant at);
    /// Returns false if the suspect of this crash was known.
    bool add_suspect(std::uint64_t server, const suspect_record& suspect,
                     instant at, instant now);
    void judge(const std::vector<prompt_part>& parts, instant now);
    void quarantine(prompt_part part, instant since, std::uint32_t probes,
                    const char* source);
    void clear(prompt_part part, instant begun);
    void release(prompt_part part, instant begun);
    void schedule_reply(prompt_part part, instant now);
    void drop_old(instant now);

    options options_;
    std::mt19937_64 random_;
    std::deque<crash_record> crashes_; ///< In the order of their times.
    std::deque<listed_end> listed_ends_;
    /// Latest crash for which each part is suspected.
    absl::flat_hash_map<prompt_part, instant> suspected_;
    [[nodiscard]] sound_parts& answered(prompt_part part) {
        return is_whole_request(part) ? answered_requests_ : answered_parts_;
    }
    [[nodiscard]] const sound_parts& answered(prompt_part part) const {
        return is_whole_request(part) ? answered_requests_ : answered_parts_;
    }

    // Answers of this entry. Most whole requests come once and would evict the
    // parts of prompts.
    sound_parts answered_parts_;
    sound_parts answered_requests_;
    /// Latest answer on each suspected part that all entries were told of.
    absl::flat_hash_map<prompt_part, instant> reported_sound_;
    absl::flat_hash_map<prompt_part, quarantine_record> quarantined_;
    std::vector<outgoing_crash> outgoing_;
    /// Times at which to report parts as sound.
    absl::flat_hash_map<prompt_part, instant> replies_;
};

} // namespace ospreystage
