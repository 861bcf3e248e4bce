#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/http/api_server.hpp>
#include <ospreystage/rollout/configuration.hpp>

#include <functional>
#include <optional>
#include <string>

namespace ospreystage {

/// Returns true if `after` differs from `before` only in the definitions and
/// traffic rules of `organisations`; `*` permits every difference.
[[nodiscard]] bool may_change(const std::vector<std::string>& organisations,
                              const rollout_document& before,
                              const rollout_document& after);

/// Operators' HTTP API (JSON under `/admin/v1`) and the web console.
///
/// Every API call requires an operator's token. A submission is answered with
/// 200 (accepted), 202 (outcome not yet known; query it by operation id), 409
/// (another edit was accepted first), 422 (invalid), 500 (the stored document
/// is damaged), or 503 (rejected: the platform's service was unavailable and
/// this call wrote nothing).
class admin_api {
  public:
    admin_api(const settings& values, kernel& core,
              configuration& rollout_configuration);

    /// Registers the API's routes and the console page on `server`.
    void add_routes(api_server& server);

  private:
    using handler = std::function<http_response(const operator_settings&,
                                                const api_request&)>;

    void add(api_server& server, const char* method, const char* pattern,
             handler body);
    [[nodiscard]] const operator_settings*
    authenticate(const api_request& request) const;
    [[nodiscard]] std::shared_ptr<const rollout_document> in_force();
    [[nodiscard]] std::optional<rollout_document>
    read_history(revision number) const;
    [[nodiscard]] std::optional<rollout_document>
    read_key(const std::string& key) const;
    /// Returns the accepted revision `number`, or nothing if it cannot be
    /// read. Revision 0 is the empty document.
    [[nodiscard]] std::optional<rollout_document> read_base(revision number);
    /// Returns an error response if the operator may not submit the draft: 403
    /// if the change is not permitted, 503 if the base cannot be read.
    ///
    /// The draft is compared with the revision that it is based on, because
    /// the document in force on this entry may be older.
    [[nodiscard]] std::optional<http_response>
    permission_error(const operator_settings& by,
                     const rollout_document& draft);

    [[nodiscard]] http_response show();
    [[nodiscard]] http_response check(const api_request& request);
    [[nodiscard]] http_response compare(const api_request& request);
    [[nodiscard]] http_response apply(const operator_settings& by,
                                      const api_request& request);
    [[nodiscard]] http_response roll_back(const operator_settings& by,
                                          const api_request& request);
    [[nodiscard]] http_response submit(const operator_settings& by,
                                       rollout_document draft,
                                       const std::string& operation_id);
    [[nodiscard]] http_response show_operation(const api_request& request);
    [[nodiscard]] http_response show_status();
    [[nodiscard]] http_response show_history();
    [[nodiscard]] http_response show_revision(const api_request& request);

    const settings& values_;
    kernel& core_;
    configuration& configuration_;
    kv_client client_;
};

} // namespace ospreystage
