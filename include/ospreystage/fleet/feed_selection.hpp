#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Decides whether an entry reads the platform's store itself, or takes the
/// state of the site from the entries of its region that do (the readers).
///
/// An entry reads the store if it is one of the readers, if another entry takes
/// the state from it, or if what the readers give it is too old. The number of
/// reads then depends on the number of regions, not on that of the entries, and
/// entries that choose different readers still get their state.
///
/// When the state is too old, the store may be away and the readers well. So
/// the entries take over in tiers, each three times as large as all before it,
/// instead of all at once, and the later ones repeat failed reads more rarely:
/// after its return the store first meets the readers, and the others get its
/// state from them. A reader whose own reads fail, or whose state grows older
/// than they let it, asks the other readers.
///
/// While a reader is receiving large documents, its state is old although the
/// store is well. The others wait for it then: their own reads would send the
/// same documents over the same link.
class feed_selection {
  public:
    struct options {
        std::size_t readers = 2; ///< Per region.
        /// Age up to which the state from a reader replaces an own read.
        milliseconds max_age{2000};
        /// Age of its own state above which a reader asks the others. Its reads
        /// and watches make the state younger unless they fail.
        milliseconds max_reader_age{1000};
        /// Time after a request of another entry in which this entry reads.
        milliseconds requester_timeout{2000};
        /// Time in which other entries may answer first: after the start, and
        /// after the entries are known.
        milliseconds startup_grace{400};
        /// Other regions of which a reader asks a reader after its start.
        std::size_t startup_sources = 2;
        /// Time from one tier's turn to that of the next one.
        milliseconds tier_interval{400};
        /// Pause after a failed read in the first tier after the readers; four
        /// times as long with each further one.
        milliseconds tier_retry_pause{800};
        /// Time for which an answer that says that a reader is receiving
        /// documents counts. The other reader may be next on the same link and
        /// is asked in turn with it.
        milliseconds receiving_timeout{800};
        /// Longest time beyond the allowed age to wait for such a reader.
        milliseconds max_receiving_time{2000};
    };

    feed_selection(std::string self, const options& limits, instant started);

    // ---- Observers ---------------------------------------------------------

    /// Returns true if this entry reads the store for its region.
    [[nodiscard]] bool is_reader() const noexcept { return is_reader_; }

    /// Returns true if this entry should read the store now.
    [[nodiscard]] bool reads_store(instant now) const;

    /// Returns the entries to ask for the state, without this one: the readers,
    /// or the first tier after them while what the readers give is too old.
    [[nodiscard]] std::vector<std::string> sources(instant now) const;

    /// Returns the readers of other regions to ask too: some after the start of
    /// a reader, or else none. What is in force there may be missing in the
    /// store after it has returned from an older copy, and the other readers of
    /// the region may have started again as well. Entries that are no readers
    /// are not asked: they would read the store from then on.
    [[nodiscard]] std::vector<std::string> startup_sources(instant now) const;

    /// Returns the readers, without this entry.
    [[nodiscard]] std::vector<std::string> readers() const;

    /// Returns true if the last read of the store by this reader has failed,
    /// so that it asks the others meanwhile.
    [[nodiscard]] bool is_store_failing() const noexcept {
        return is_reader_ && is_store_failing_;
    }

    /// Returns true if documents are arriving from the store at this entry.
    [[nodiscard]] bool is_receiving() const noexcept { return is_receiving_; }

    /// Returns the shortest pause after a read of the store that has failed.
    [[nodiscard]] milliseconds retry_pause() const noexcept;

    // ---- Events ------------------------------------------------------------

    /// Sets the names of the entries of this entry's region, and those of other
    /// regions by region.
    void set_entries(std::vector<std::string> names,
                     const std::map<std::string, std::vector<std::string>>&
                         remote_names = {});

    /// Records that the other entries are known. Returns false, and changes
    /// nothing, if they have been before.
    bool on_entries_known(instant now);

    /// Records a state from another entry that was read from the store at
    /// `read_at`.
    void on_state(instant read_at);

    /// Records a read of the store by this entry that began at `read_at`.
    void on_store_read(bool has_failed, instant read_at);

    /// Records whether documents are arriving from the store at this entry.
    void set_receiving(bool is_receiving) noexcept {
        is_receiving_ = is_receiving;
    }

    /// Records that a reader has said that it is receiving documents.
    void on_reader_receiving(instant now) { reader_receiving_at_ = now; }

    /// Records that another entry asked for the state.
    void on_request(instant now);

    void set_limits(const options& limits) { limits_ = limits; }
    [[nodiscard]] milliseconds max_age() const noexcept {
        return limits_.max_age;
    }
    /// Returns the age above which this entry asks others.
    [[nodiscard]] milliseconds max_own_age() const noexcept {
        return is_reader_ ? limits_.max_reader_age : milliseconds(0);
    }

  private:
    /// Returns the other entries of a tier.
    [[nodiscard]] std::vector<std::string> others_of(std::size_t tier) const;
    /// Returns the tier of a rank in the order of entries; readers are in 0.
    [[nodiscard]] std::size_t tier_of(std::size_t rank) const noexcept;
    /// Returns until when other entries may answer first.
    [[nodiscard]] instant grace_end() const;
    [[nodiscard]] bool may_answer_first(instant now) const;
    /// Returns true if this entry has no state yet and knows its readers.
    [[nodiscard]] bool waits_for_readers() const noexcept;
    /// Returns when an entry without a state should have one: the readers read
    /// the store first.
    [[nodiscard]] instant startup_due() const;
    /// Returns for how long the state has been too old; negative if it is not.
    [[nodiscard]] milliseconds overdue(instant now) const;

    std::string self_;
    options limits_;
    instant started_;
    bool is_reader_ = false; ///< Not before the entries are known.
    bool is_store_failing_ = false;
    bool is_receiving_ = false;
    std::vector<std::string> order_; ///< Entries of the region, by rank.
    /// The first readers of other regions that may be asked after the start.
    std::vector<std::string> remote_readers_;
    std::size_t tier_ = 1; ///< Of this entry.
    std::optional<instant> state_read_at_;
    std::optional<instant> requested_at_;
    std::optional<instant> reader_receiving_at_;
    std::optional<instant> entries_known_at_;
};

} // namespace ospreystage
