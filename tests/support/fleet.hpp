#pragma once

#include <nlohmann/json.hpp>
#include <tests/support/child_process.hpp>
#include <tests/support/fleet_options.hpp>
#include <tests/support/weights.hpp>

#include <map>
#include <string>
#include <vector>

namespace ospreystage::support {

/// Returns the path of the product's executable.
[[nodiscard]] std::string product_binary();

/// Returns the path of the executable that simulates platform services and
/// backend servers (the stand-ins).
[[nodiscard]] std::string standin_binary();

/// Creates a folder for the files of one run and returns its path.
[[nodiscard]] std::string make_run_folder();

/// Runs the product and stand-ins for its platform as separate processes on
/// the loopback interface.
///
/// Processes are addressed by name: `kv`, `vms`, `origin`, `entry-1`, `vm-1`
/// and `backend-vm-1` (the engine or plain service on that VM).
///
///     fleet system(options);
///     if (!system.start())
///         FAIL(system.problem());
///     system.kill("entry-1");
class fleet {
  public:
    // ---- Construction ------------------------------------------------------

    /// Assigns addresses; starts no process.
    explicit fleet(fleet_options options);
    ~fleet() = default;
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts all processes and waits until each is ready.
    [[nodiscard]] bool start();

    /// Starts only the stand-ins and lists the VMs.
    [[nodiscard]] bool start_standins();

    /// Starts the entries and agents; call it after `start_standins`.
    [[nodiscard]] bool start_members();

    // ---- Observers ---------------------------------------------------------

    /// Returns why a start failed; if a process was not ready, with the end of
    /// its log.
    [[nodiscard]] const std::string& problem() const noexcept {
        return problem_;
    }
    [[nodiscard]] const fleet_options& options() const noexcept {
        return options_;
    }
    [[nodiscard]] const std::vector<fleet_member>& members() const noexcept {
        return members_;
    }
    [[nodiscard]] std::vector<std::string> entry_urls() const;
    [[nodiscard]] std::vector<std::string> agent_names() const;

    /// Returns the HTTP base URL of a process; throws `std::out_of_range`.
    [[nodiscard]] const std::string& url(const std::string& name) const;

    /// Returns a started process; throws `std::out_of_range`.
    [[nodiscard]] child_process& process(const std::string& name);

    /// Returns the settings of an entry or agent as TOML.
    [[nodiscard]] std::string settings_of(const fleet_member& member) const;

    // ---- Faults ------------------------------------------------------------

    void kill(const std::string& name);
    void terminate(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);

    /// Kills the process if it runs and restarts it at the same address.
    [[nodiscard]] bool replace(const std::string& name);

    /// Replaces an agent and the backend server on its VM.
    [[nodiscard]] bool replace_vm(const std::string& vm);

    /// Posts `faults` to `/control/faults` of a stand-in.
    bool set_faults(const std::string& name, const nlohmann::json& faults);

    /// Sets a VM's state in the platform's VM list: `live`, `leaving` or
    /// `absent`.
    bool set_vm(const std::string& vm, const std::string& state);

    /// Publishes a version at the origin; throws `std::runtime_error` on
    /// failure.
    [[nodiscard]] weights_version publish(const weights_spec& spec);

  private:
    void add_standin(const std::string& name,
                     std::vector<std::string> arguments);
    [[nodiscard]] std::string backend_of(const fleet_member& member) const;
    void add_backend(const fleet_member& member);
    void add_members();
    [[nodiscard]] address next_address();
    [[nodiscard]] bool launch(const std::string& name);
    [[nodiscard]] bool await_ready(const std::string& name);
    [[nodiscard]] bool start_all(const std::vector<std::string>& names);
    [[nodiscard]] bool list_vms();

    fleet_options options_;
    std::vector<std::uint16_t> ports_;
    std::vector<fleet_member> members_;
    std::vector<witness_settings> witnesses_;
    platform_urls platform_;
    std::map<std::string, std::vector<std::string>> commands_;
    std::map<std::string, std::string> urls_;
    std::map<std::string, child_process> processes_;
    std::map<std::string, int> start_counts_; ///< Number of starts per process.
    std::vector<std::string> standins_;
    std::string problem_;
};

} // namespace ospreystage::support
