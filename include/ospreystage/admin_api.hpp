#pragma once

#include <ospreystage/configuration.hpp>
#include <ospreystage/kernel.hpp>
#include <ospreystage/settings.hpp>

#include <functional>
#include <optional>
#include <string>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace ospreystage {

/// Returns true if `after` differs from `before` only in the entries and
/// traffic rules of `organisations`; `*` allows every difference.
[[nodiscard]] bool may_change(const std::vector<std::string>& organisations,
                              const rollout_document& before,
                              const rollout_document& after);

/// Operators' interface: HTTP with JSON under `/admin/v1`, and the console.
///
/// Every call needs an operator's token. Acceptance answers 200 (accepted),
/// 202 (not yet known; ask again by id), 409 (another edit was accepted), 422
/// (invalid), or 503 (rejected: the platform's service was not available and
/// nothing was written).
class admin_api {
  public:
    admin_api(const settings& values, kernel& core, configuration& register_);

    /// Adds the routes to a server.
    void add_routes(httplib::Server& server);

  private:
    using handler = std::function<void(
        const operator_settings&, const httplib::Request&, httplib::Response&)>;

    void add(httplib::Server& server, bool post, const char* pattern,
             handler body);
    [[nodiscard]] const operator_settings*
    authenticate(const httplib::Request& request) const;
    [[nodiscard]] std::shared_ptr<const rollout_document> in_force();
    [[nodiscard]] std::optional<rollout_document>
    read_history(revision number) const;
    [[nodiscard]] std::optional<rollout_document>
    read_key(const std::string& key) const;
    /// Returns the accepted revision `number`, nothing if it cannot be read.
    [[nodiscard]] std::optional<rollout_document> base_of(revision number);
    /// Compares the draft with its own base: what is in force here may be
    /// older. Answers 403 or 503 and returns false if it is not allowed.
    [[nodiscard]] bool authorise(const operator_settings& by,
                                 const rollout_document& draft,
                                 httplib::Response& response);

    void show(httplib::Response& response);
    void check(const httplib::Request& request, httplib::Response& response);
    void compare(const httplib::Request& request, httplib::Response& response);
    void apply(const operator_settings& by, const httplib::Request& request,
               httplib::Response& response);
    void roll_back(const operator_settings& by, const httplib::Request& request,
                   httplib::Response& response);
    void submit(const operator_settings& by, rollout_document draft,
                const std::string& operation_id, httplib::Response& response);
    void show_operation(const httplib::Request& request,
                        httplib::Response& response);
    void show_status(httplib::Response& response);
    void show_history(httplib::Response& response);
    void show_revision(const httplib::Request& request,
                       httplib::Response& response);

    const settings& values_;
    kernel& core_;
    configuration& configuration_;
    kv_client client_;
};

} // namespace ospreystage
