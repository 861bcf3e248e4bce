#include <fmt/format.h>
#include <tests/bench/allocated_bytes.hpp>
#include <tests/bench/decisions.hpp>
#include <tests/support/swarm_experiment.hpp>

#include <memory>
#include <random>

namespace ospreystage::bench {

namespace {

constexpr std::uint32_t chunk_bytes = 1024 * 1024;
constexpr std::uint64_t link_rate = 100ULL * 1024 * 1024;
constexpr std::uint32_t data_centres = 3;

struct decision_options {
    std::vector<std::uint32_t> members{270, 600};
    std::uint32_t chunks = 512;
    std::uint32_t rounds = 5;
    std::uint64_t seed = 1;
};

/// Sums of one kind of call.
struct call_cost {
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
    std::chrono::nanoseconds time{};

    template <typename Body>
    void measure(const Body& body) {
        const std::uint64_t before = allocated_bytes();
        const instant started = steady::now();
        body();
        time += steady::now() - started;
        bytes += allocated_bytes() - before;
        ++calls;
    }

    void print(const char* name) const {
        if (calls > 0)
            fmt::print("  {:<24} {:>8} calls {:>9} ns {:>8} bytes a call\n",
                       name, calls,
                       static_cast<std::uint64_t>(time.count()) / calls,
                       bytes / calls);
    }
};

std::vector<swarm_member> make_members(std::uint32_t count) {
    std::vector<swarm_member> members;
    for (std::uint32_t index = 0; index < count; ++index)
        members.push_back({fmt::format("agent-{}", index),
                           fmt::format("dc-{}", index % data_centres)});
    return members;
}

/// Lets one agent fetch a version from neighbours that fetch it too.
class lone_agent {
  public:
    lone_agent(const decision_options& options, std::uint32_t members,
               std::uint64_t seed)
        : chunks_(options.chunks), random_(seed),
          members_(make_members(members)),
          description_(make_manifest(std::string(chunks_, 'w'), 1)),
          version_(sha256(std::to_string(seed))),
          decisions_({}, members_.front().name),
          neighbours_(chunk_assignment(rendezvous_strategy{}, members_,
                                       members_.front().name, version_, chunks_)
                          .neighbours()),
          held_(neighbours_.size(), chunk_bitmap(chunks_)) {
        description_.total_bytes = std::uint64_t{chunks_} * chunk_bytes;
        description_.chunk_bytes = chunk_bytes;
        decisions_.set_budget({link_rate, false}, now_);
        decisions_.set_members(members_, now_);
        decisions_.set_requested({{version_, 1}}, now_);
        decisions_.on_manifest(version_, description_, {}, now_);
    }

    void run(call_cost& ticks, call_cost& announcements, call_cost& views) {
        while (!decisions_.complete(version_)) {
            now_ += milliseconds(1);
            announcements.measure([&] { announce_one(); });
            std::vector<swarm_action> actions;
            ticks.measure([&] { actions = decisions_.tick(now_); });
            for (const swarm_action& action : actions)
                if (const auto* chunk = std::get_if<fetch_chunk>(&action))
                    decisions_.on_fetched(chunk->source, version_, chunk->index,
                                          fetch_outcome::stored, now_);
        }
        members_.pop_back();
        views.measure([&] { decisions_.set_members(members_, now_); });
    }

  private:
    void announce_one() {
        const std::size_t peer = random_() % neighbours_.size();
        for (int count = 0; count < 8; ++count)
            held_[peer].set(static_cast<std::uint32_t>(random_() % chunks_));
        decisions_.on_have(neighbours_[peer], version_, held_[peer], now_);
    }

    std::uint32_t chunks_;
    std::mt19937_64 random_;
    std::vector<swarm_member> members_;
    manifest description_;
    digest version_;
    swarm decisions_;
    std::vector<std::string> neighbours_;
    std::vector<chunk_bitmap> held_;
    instant now_ = instant(seconds(1000));
};

void measure_calls(const decision_options& options, std::uint32_t members) {
    call_cost ticks;
    call_cost announcements;
    call_cost views;
    for (std::uint32_t round = 0; round < options.rounds; ++round)
        lone_agent(options, members, options.seed + round)
            .run(ticks, announcements, views);
    ticks.print("tick");
    announcements.print("chunk_have of a peer");
    views.print("change of members");
}

void measure_control(const decision_options& options, std::uint32_t members) {
    support::swarm_scenario scenario;
    scenario.members = members;
    scenario.seed = options.seed;
    const auto seen = support::run_experiment(scenario);
    const double link_rate_modelled =
        2.0 * scenario.chunks * scenario.chunk_bytes /
        std::chrono::duration<double>(scenario.window).count();
    fmt::print("  {:<24} {:.0f} bytes/s a member, {:.2f} % of its link\n",
               "control messages", seen.control_bytes_per_second,
               100 * seen.control_bytes_per_second / link_rate_modelled);
    fmt::print("  {:<24} ratio {:.2f}, origin copies {:.2f}\n", "spread",
               seen.time_ratio, seen.origin_copies);
}

void run_decisions(const decision_options& options) {
    for (const std::uint32_t members : options.members) {
        fmt::print("{} members, {} chunks\n", members, options.chunks);
        measure_calls(options, members);
        measure_control(options, members);
    }
}

} // namespace

void add_decisions(CLI::App& app, int& status) {
    auto* command =
        app.add_subcommand("decisions", "Cost of the distribution's decisions");
    auto options = std::make_shared<decision_options>();
    command->add_option("--members", options->members, "Sizes of the fleet");
    command->add_option("--chunks", options->chunks, "Chunks of the version");
    command->add_option("--rounds", options->rounds, "Versions fetched");
    command->add_option("--seed", options->seed, "First seed");
    command->callback([options, &status] {
        run_decisions(*options);
        status = 0;
    });
}

} // namespace ospreystage::bench
