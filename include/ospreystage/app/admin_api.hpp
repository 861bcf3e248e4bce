#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/http/api_server.hpp>
#include <ospreystage/rollout/configuration.hpp>

#include <functional>
#include <optional>
#include <string>

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
    admin_api(const settings& values, kernel& core,
              configuration& rollout_configuration);

    /// Adds the routes to a server.
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
    /// Returns the accepted revision `number`, nothing if it cannot be read.
    [[nodiscard]] std::optional<rollout_document> read_base(revision number);
    /// Compares the draft with its own base: what is in force here may be
    /// older. Returns the refusal, 403 or 503, if the change is not allowed.
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
