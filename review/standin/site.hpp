#pragma once

#include "store.hpp"

#include <nlohmann/json.hpp>
#include <sys/types.h>

#include <fstream>

namespace ospreystage::review {

/// File of a case with one line for each thing that was sent, answered or run,
/// with the time since the start in ms, behind what it holds. Thread-safe.
class record_file {
  public:
    explicit record_file(const std::string& path);

    void write(const std::string& text);
    [[nodiscard]] static milliseconds since_start(instant at);

  private:
    std::mutex mutex_;
    std::ofstream output_;
};

/// A process of the system: the command of the deploy file, with a settings
/// file of its own. It is killed at the end.
class system_process {
  public:
    /// `command` is the `run` line of a role. Starts it in `root`.
    system_process(const std::string& root, const std::string& command,
                   const std::string& settings_file,
                   const std::string& output_file);
    ~system_process();
    system_process(const system_process&) = delete;
    system_process& operator=(const system_process&) = delete;

    [[nodiscard]] bool is_running();
    /// Sends SIGTERM, and SIGKILL if it has not ended after `grace`.
    void stop(milliseconds grace);

  private:
    pid_t process_ = -1;
};

struct site_options {
    std::string root;
    std::string record_path;
    int entries = 3;
    int agents = 0;
    std::string model_service{}; ///< Service of the agents' workers.
};

/// A small deployment on loopback addresses, one address a machine: entries in
/// one region, agents beside model workers, and the store.
class site {
  public:
    explicit site(const site_options& options);
    ~site();
    site(const site&) = delete;
    site& operator=(const site&) = delete;

    [[nodiscard]] record_file& record() { return record_; }
    [[nodiscard]] platform_store& store() { return store_; }
    /// Address `index` of this run; the entries have 1 and up, agents 101 and
    /// up.
    [[nodiscard]] std::string ip(int index) const;
    [[nodiscard]] endpoint front(int entry) const;
    [[nodiscard]] int entries() const { return options_.entries; }
    /// Address of the model worker beside an agent.
    [[nodiscard]] endpoint app(int agent) const;

    /// Starts all processes; entries reach the store at `store_address`.
    void start(const endpoint& store_address);
    /// Returns true once all entries are ready, or false after 20 s.
    [[nodiscard]] bool await_ready();
    /// Stops an entry with SIGTERM and starts it again.
    void restart_entry(int entry, const endpoint& store_address);
    [[nodiscard]] bool are_all_running();

    /// Writes a desired state as the operator does; returns the time of its
    /// ack.
    instant put_config(const nlohmann::json& config);

  private:
    [[nodiscard]] std::string command_of(const std::string& role) const;
    [[nodiscard]] std::string entry_settings(int entry,
                                             const endpoint& store) const;
    [[nodiscard]] std::string agent_settings(int agent,
                                             const endpoint& store) const;
    [[nodiscard]] std::string common_settings(const endpoint& store) const;
    [[nodiscard]] std::unique_ptr<system_process>
    start_process(const std::string& role, const std::string& name,
                  const std::string& settings);

    site_options options_;
    std::string folder_;
    int network_ = 0;
    record_file record_;
    platform_store store_;
    std::uint16_t front_port_ = 0;
    std::uint16_t ready_port_ = 0;
    std::uint16_t directory_port_ = 0;
    std::uint16_t internal_port_ = 0;
    std::uint16_t app_port_ = 0;
    std::vector<std::unique_ptr<system_process>> entry_processes_;
    std::vector<std::unique_ptr<system_process>> agent_processes_;
};

/// Returns a route of the published format.
[[nodiscard]] nlohmann::json make_route(const std::string& name,
                                        const std::string& prefix,
                                        const std::string& kind,
                                        const std::string& service);
/// Returns a desired state with usual limits and no routes.
[[nodiscard]] nlohmann::json make_config(std::uint64_t version);

/// Sends a request as a consumer does, with a new id, and records it with its
/// answer.
struct consumer_call {
    std::string id;
    instant sent;
    http_response response;
};
[[nodiscard]] consumer_call consume(site& target, int entry,
                                    http_request request);

/// Host name of all routes.
inline constexpr const char* host_name = "hulo84.example";

void sleep_until(instant at);

} // namespace ospreystage::review
