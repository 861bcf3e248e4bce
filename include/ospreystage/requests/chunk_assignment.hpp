#pragma once

#include <ospreystage/core/ids.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// An agent that takes part in the distribution.
struct swarm_member {
    std::string name;
    std::string data_centre;
    friend bool operator==(const swarm_member&, const swarm_member&) = default;
};

/// Rendezvous hashing picks the origin reader and the owner of each chunk.
struct rendezvous_strategy {
    std::uint32_t origin_copies = 1; ///< Origin readers of each chunk.
    /// Agents that read from the origin and share its link, over all data
    /// centres.
    std::uint32_t readers = 6;
    friend bool operator==(const rendezvous_strategy&,
                           const rendezvous_strategy&) = default;
};

/// Baseline: every agent reads every chunk from the origin.
struct direct_strategy {
    friend bool operator==(const direct_strategy&,
                           const direct_strategy&) = default;
};

/// Baseline: a tree over the sorted members; only its root reads from the
/// origin.
struct tree_strategy {
    std::uint32_t fan_out = 2; ///< Children per node.
    friend bool operator==(const tree_strategy&,
                           const tree_strategy&) = default;
};

/// Strategy that assigns chunks and their sources to agents.
using distribution_strategy =
    std::variant<rendezvous_strategy, direct_strategy, tree_strategy>;

/// Role of this agent for one chunk.
struct chunk_role {
    /// Marks that the agent has no such rank.
    static constexpr std::uint16_t none = 0xFFFF;

    /// Position among the origin readers of the chunk from 0, or `none`.
    std::uint16_t origin_rank = none;
    /// Position from 0 among the agents of its data centre that may fetch the
    /// chunk from another data centre.
    std::uint16_t owner_rank = none;
};

/// Assignment of chunks, sources and neighbours for one agent and version.
///
/// Agents with the same list of members compute the same assignment. Removing a
/// member reassigns only its own chunks.
class chunk_assignment {
  public:
    // ---- Construction ------------------------------------------------------

    /// Computes the assignment.
    ///
    /// `silent_readers` names the readers that backup readers replace.
    chunk_assignment(const distribution_strategy& strategy,
                     std::vector<swarm_member> members, const std::string& self,
                     const digest& version, std::uint32_t chunks,
                     const std::vector<std::string>& silent_readers = {});

    // ---- Observers ---------------------------------------------------------

    /// Returns the agents to which this agent announces its chunks.
    [[nodiscard]] const std::vector<std::string>& neighbours() const noexcept {
        return neighbours_;
    }

    /// Returns the agents that read from the origin, followed by the backup
    /// readers.
    [[nodiscard]] const std::vector<std::string>& readers() const noexcept {
        return readers_;
    }

    /// Returns true if this agent is among the `readers`.
    [[nodiscard]] bool is_reader() const noexcept { return is_reader_; }

    /// Returns the number of readers that read each chunk from the origin when
    /// none fails; readers of a higher rank are their backups.
    [[nodiscard]] std::uint32_t origin_copies() const noexcept {
        return origin_copies_;
    }

    /// Returns the role of this agent for chunk `index`.
    [[nodiscard]] const chunk_role& role(std::uint32_t index) const {
        return roles_[index];
    }

    /// Returns the owner of chunk `index` in each other data centre.
    [[nodiscard]] std::vector<std::string>
    remote_owners(std::uint32_t index) const;

    /// Returns true if `peer` is in the data centre of this agent.
    [[nodiscard]] bool is_local(const std::string& peer) const;

    /// Returns true if the strategy lets this agent fetch from `peer`.
    [[nodiscard]] bool may_fetch_from(const std::string& peer) const;

    /// Returns true if backup readers replace a failed reader.
    [[nodiscard]] bool has_backup_readers() const noexcept {
        return !has_fixed_sources_;
    }

  private:
    struct member_record {
        std::string name;
        std::uint32_t data_centre = 0;
        std::uint64_t hash = 0;
    };

    void assign_roles(const rendezvous_strategy& strategy);
    void assign_roles(const direct_strategy& strategy);
    void assign_roles(const tree_strategy& strategy);
    void choose_readers(const std::vector<std::string>& silent_readers);
    void choose_neighbours();
    [[nodiscard]] chunk_role role_of(std::uint32_t index) const;
    [[nodiscard]] std::vector<std::size_t>
    reader_order(std::uint32_t index) const;
    [[nodiscard]] std::uint64_t weight(std::size_t member,
                                       std::uint32_t index) const noexcept;
    [[nodiscard]] std::size_t
    position_of(const std::string& name) const noexcept;

    std::vector<member_record> members_; ///< Sorted by name.
    std::uint32_t data_centre_count_ = 0;
    std::size_t self_ = 0;
    std::uint64_t version_hash_ = 0;
    std::vector<std::size_t> active_readers_;
    std::vector<std::string> readers_;
    std::vector<std::string> neighbours_;
    std::vector<std::string> sources_; ///< Tree: only the parent.
    bool has_fixed_sources_ = false;   ///< Fetches from `sources_` only.
    bool is_reader_ = false;
    std::uint32_t origin_copies_ = 1;
    std::uint32_t target_readers_ = 1;
    std::vector<chunk_role> roles_;
};

} // namespace ospreystage
