#pragma once

#include "prefix_cache.hpp"
#include "run_counts.hpp"

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ospreystage::standin {

/// One request to generate tokens, from arrival to its last token.
struct generation {
    request_identity identity;
    std::string version;
    std::string weights_digest;
    std::string prompt;              ///< Content of the last message.
    std::vector<std::string> blocks; ///< Hashes of the prompt's blocks.
    std::string session;
    std::int64_t priority = 0;       ///< Higher is admitted first.
    std::uint64_t next_token = 0;    ///< Index of the token that is due.
    std::uint64_t end_token = 0;     ///< Index after the last token.
    std::uint64_t prefill_steps = 0; ///< Steps left before the first token.
    std::vector<std::string> tokens; ///< Generated, from the first on.
    bool finished = false;
    bool cut = false; ///< The connection must be closed.
    absl::CondVar progress;
};

/// Continuous batching: up to `capacity` generations share each step.
///
/// Every method locks; `run` steps until the process ends.
class engine_batch {
  public:
    using pointer = std::shared_ptr<generation>;

    struct limits {
        std::size_t capacity = 16;
        std::chrono::milliseconds step{9};
        std::chrono::milliseconds load_lag{0};
        std::chrono::milliseconds event_lag{200};
        std::size_t cache_blocks = 4096;
    };

    struct load_report {
        std::size_t running = 0;
        std::size_t queued = 0;
        steady::time_point taken;
    };

    /// What a reader of a generation sees of its progress.
    struct progress_view {
        std::vector<std::string> tokens; ///< From the asked position on.
        bool finished = false;
        bool cut = false;
    };

    explicit engine_batch(limits settings);

    /// Steps the batch and takes load reports; never returns.
    void run();

    /// Queues a generation; returns false if too many are waiting.
    [[nodiscard]] bool submit(const pointer& request);

    /// Waits a short while for tokens beyond the first `seen` ones.
    [[nodiscard]] progress_view await(const pointer& request, std::size_t seen);

    /// Waits a short while for the last token; its view holds no tokens.
    [[nodiscard]] progress_view await_end(const pointer& request);

    void cancel(const pointer& request);

    /// Cuts every generation and empties the prefix cache.
    void reset();

    void set_stalled(bool stalled);
    void set_step(std::chrono::milliseconds step);

    [[nodiscard]] load_report load();
    [[nodiscard]] json runs();
    [[nodiscard]] json cache_events(std::int64_t after);
    [[nodiscard]] json export_session(const std::string& session);
    void import_session(const std::string& session, const json& state);

  private:
    void step_all();
    void admit();
    static void step_one(generation& request);

    limits limits_;
    absl::Mutex mutex_;
    std::deque<pointer> queue_;
    std::vector<pointer> running_;
    prefix_cache cache_;
    run_counts runs_;
    std::map<std::string, std::vector<std::string>> sessions_;
    load_report report_;
    bool stalled_ = false;
};

} // namespace ospreystage::standin
