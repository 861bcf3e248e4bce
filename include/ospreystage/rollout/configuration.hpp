#pragma once

#include <ospreystage/core/job_thread.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/fleet/membership_service.hpp>
#include <ospreystage/network/links.hpp>
#include <ospreystage/rollout/acceptance.hpp>
#include <ospreystage/rollout/config_register.hpp>
#include <ospreystage/store/kv_watch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Service `configuration`: runs the `config_register` on the kernel thread and
/// connects it to the peers and to the platform's key-value service.
///
/// A starting process reads the key of the accepted document, and retries
/// until it has recovered. The first `platform.watchers_per_data_centre`
/// entries of a data centre, in order of name, watch the key and poll the VM
/// list; all other processes receive both by gossip. Construct after
/// `membership` and before `links::start`.
class configuration {
  public:
    using in_force_handler =
        std::function<void(const std::shared_ptr<const rollout_document>&)>;
    using result_handler = std::function<void(const acceptance_result&)>;

    // ---- Construction ------------------------------------------------------

    configuration(kernel& core, const settings& values, links& connections,
                  membership_service& members);

    // ---- Observers ---------------------------------------------------------

    /// Returns the document in force on this process, or null.
    [[nodiscard]] std::shared_ptr<const rollout_document> document() const;

    /// Returns the highest document held, which may not be in force yet, or
    /// null.
    [[nodiscard]] std::shared_ptr<const rollout_document> highest() const;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Events ------------------------------------------------------------

    /// Registers `handler` for every document that is put in force.
    void on_in_force(in_force_handler handler);

    /// Registers `handler` for reads of the platform's key-value service that
    /// find no accepted document.
    void on_nothing_accepted(std::function<void()> handler);

    // ---- Operations --------------------------------------------------------

    /// Replaces the accepted document asynchronously; calls `done` on the
    /// kernel thread.
    void accept(acceptance_request request, result_handler done);

    /// Looks up the result of an earlier `accept` whose request was based on
    /// `based_on`; calls `done` on the kernel thread.
    void resolve(const std::string& operation_id, revision based_on,
                 result_handler done);

  private:
    void subscribe();
    void tick();
    void update_watch();
    [[nodiscard]] bool is_watcher() const;
    void read_platform(instant now);
    void poll_vm_list(instant now);
    void start(acceptance operation, result_handler done);
    void on_platform(const kv_reading& reading);
    void on_platform_failure(const error& failure);
    void apply(const config_register::actions& actions);
    void apply(const push_document& action);
    void apply(const request_document& action);
    void apply(const query_witness& action);
    void apply(const put_in_force& action);
    void apply(const document_refused& action);

    kernel& core_;
    const settings& values_;
    links& connections_;
    membership_service& members_;
    config_register register_;
    kv_client client_;
    std::vector<in_force_handler> in_force_handlers_;
    std::vector<std::function<void()>> nothing_accepted_handlers_;
    std::optional<instant> read_started_;
    bool reading_ = false;
    std::optional<instant> poll_started_;
    bool polling_ = false;
    std::string platform_problem_; ///< Last failure; empty after a success.
    // Declared last, so destroyed first: their threads post to this service.
    std::unique_ptr<kv_watch> watch_;
    job_thread read_thread_;
    job_thread acceptance_thread_;
};

} // namespace ospreystage
