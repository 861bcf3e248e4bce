#include <ospreystage/app/admin_api.hpp>
#include <ospreystage/app/console_page.hpp>
#include <ospreystage/core/log.hpp>
#include <ospreystage/fleet/fleet_status.hpp>
#include <ospreystage/impl/bounded_json.hpp>

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace ospreystage {

namespace {

using nlohmann::json;

/// Time limit for an acceptance; the calls that it makes time out earlier.
constexpr seconds acceptance_timeout{12};
/// Largest number of revisions in one history response.
constexpr revision max_listed_revisions = 50;
constexpr std::size_t max_operation_id_bytes = 128;

json document_json(const rollout_document& document) {
    return json::parse(to_json_text(document));
}

json problems_json(const std::vector<rollout_problem>& problems) {
    json out = json::array();
    for (const rollout_problem& problem : problems)
        out.push_back({{"field", problem.field}, {"message", problem.message}});
    return out;
}

json changes_json(const std::vector<rollout_change>& changes) {
    json out = json::array();
    for (const rollout_change& change : changes)
        out.push_back({{"field", change.field},
                       {"before", change.before},
                       {"after", change.after}});
    return out;
}

json clashes_json(const std::vector<rollout_clash>& clashes) {
    json out = json::array();
    for (const rollout_clash& clash : clashes)
        out.push_back({{"field", clash.field},
                       {"ours", clash.ours},
                       {"theirs", clash.theirs},
                       {"changed_by", clash.changed_by},
                       {"changed_in", clash.changed_in}});
    return out;
}

std::uint16_t status_of(rejection reason) {
    switch (reason) {
    case rejection::invalid:
        return 422;
    case rejection::outdated:
        return 409;
    case rejection::unavailable:
        return 503;
    case rejection::damaged:
        return 500;
    }
    return 500;
}

http_response error_response(std::uint16_t status, const std::string& detail) {
    return json_response(status, {{"error", detail}});
}

http_response result_response(const acceptance_result& result,
                              revision based_on) {
    if (const auto* success = std::get_if<accepted>(&result))
        return json_response(
            200, {{"result", "accepted"}, {"revision", success->number}});
    if (const auto* open = std::get_if<not_yet_known>(&result))
        return json_response(202, {{"result", "not-yet-known"},
                                   {"operation_id", open->operation_id},
                                   {"based_on", based_on},
                                   {"detail", open->detail}});
    const auto& refusal = std::get<rejected>(result);
    return json_response(status_of(refusal.reason),
                         {{"result", "rejected"},
                          {"reason", to_string(refusal.reason)},
                          {"detail", refusal.detail},
                          {"revision", refusal.current},
                          {"problems", problems_json(refusal.problems)},
                          {"clashes", clashes_json(refusal.clashes)}});
}

/// Returns the 422 response for a document that cannot be parsed.
http_response malformed_response(const error& failure) {
    return json_response(422,
                         {{"result", "rejected"},
                          {"reason", "invalid"},
                          {"detail", failure.detail},
                          {"problems", problems_json({{"", failure.detail}})}});
}

/// Returns `document` without the definitions and traffic rules of the named
/// organisations.
rollout_document
without_organisations(rollout_document document,
                      const std::set<std::string>& organisations) {
    std::erase_if(document.organisations, [&](const organisation& item) {
        return organisations.contains(item.name);
    });
    for (deployment& item : document.deployments)
        std::erase_if(item.traffic, [&](const traffic_rule& rule) {
            return organisations.contains(rule.organisation);
        });
    return document;
}

bool allows_all_organisations(const std::vector<std::string>& organisations) {
    return std::find(organisations.begin(), organisations.end(), "*") !=
           organisations.end();
}

bool is_operation_id(const std::string& text) {
    return !text.empty() && text.size() <= max_operation_id_bytes;
}

} // namespace

bool may_change(const std::vector<std::string>& organisations,
                const rollout_document& before, const rollout_document& after) {
    if (allows_all_organisations(organisations))
        return true;
    const std::set<std::string> names(organisations.begin(),
                                      organisations.end());
    return diff(without_organisations(before, names),
                without_organisations(after, names))
        .empty();
}

admin_api::admin_api(const settings& values, kernel& core,
                     configuration& rollout_configuration)
    : values_(values), core_(core), configuration_(rollout_configuration),
      client_(values.platform.kv_url, values.platform.call_timeout) {}

void admin_api::add_routes(api_server& server) {
    server.route_sync("GET", "/console", [](const api_request&) {
        return text_response("text/html", std::string(console_page()));
    });
    using request = const api_request&;
    using by = const operator_settings&;
    add(server, "GET", "/admin/v1/rollout",
        [this](by, request) { return show(); });
    add(server, "POST", "/admin/v1/rollout",
        [this](by who, request in) { return apply(who, in); });
    add(server, "POST", "/admin/v1/rollout/validate",
        [this](by, request in) { return check(in); });
    add(server, "POST", "/admin/v1/rollout/diff",
        [this](by, request in) { return compare(in); });
    add(server, "POST", "/admin/v1/rollout/rollback",
        [this](by who, request in) { return roll_back(who, in); });
    add(server, "GET", "/admin/v1/rollout/status",
        [this](by, request) { return show_status(); });
    add(server, "GET", "/admin/v1/rollout/history",
        [this](by, request) { return show_history(); });
    add(server, "GET", R"(/admin/v1/rollout/history/(\d{1,18}))",
        [this](by, request in) { return show_revision(in); });
    add(server, "GET", R"(/admin/v1/rollout/operations/([^/]+))",
        [this](by, request in) { return show_operation(in); });
}

void admin_api::add(api_server& server, const char* method, const char* pattern,
                    handler body) {
    server.route_blocking(
        method, pattern,
        [this, body = std::move(body)](const api_request& request) {
            const operator_settings* who = authenticate(request);
            if (who == nullptr)
                return error_response(401, "token missing or wrong");
            return body(*who, request);
        });
}

const operator_settings*
admin_api::authenticate(const api_request& request) const {
    const auto found =
        std::find_if(values_.operators.begin(), values_.operators.end(),
                     [&](const operator_settings& item) {
                         return has_token(request, item.token);
                     });
    return found == values_.operators.end() ? nullptr : &*found;
}

std::shared_ptr<const rollout_document> admin_api::in_force() {
    auto document =
        core_.call("admin", [this] { return configuration_.document(); });
    return std::move(document).value_or(nullptr);
}

std::optional<rollout_document> admin_api::read_history(revision number) const {
    return read_key(history_key(number));
}

std::optional<rollout_document>
admin_api::read_key(const std::string& key) const {
    error ignored;
    const auto reading =
        value_or_error([&] { return client_.read(key); }, ignored);
    if (!reading || !reading->entry)
        return std::nullopt;
    return value_or_error([&] { return parse_rollout(reading->entry->value); },
                          ignored);
}

std::optional<rollout_document> admin_api::read_base(revision number) {
    if (number == 0)
        return rollout_document{};
    const auto current = in_force();
    if (current && current->number == number)
        return *current;
    // The newest revision may not be in the history yet: the current document
    // is copied there before it is replaced.
    auto newest = read_key(current_rollout_key);
    if (newest && newest->number == number)
        return newest;
    return read_history(number);
}

http_response admin_api::show() {
    const auto document = in_force();
    if (!document)
        return error_response(404, "no rollout document is in force");
    return json_response(200, document_json(*document));
}

http_response admin_api::check(const api_request& request) {
    error failure;
    const auto draft = value_or_error(
        [&] { return parse_rollout(request.message.body); }, failure);
    const auto problems =
        draft ? validate(*draft)
              : std::vector<rollout_problem>{{"", failure.detail}};
    return json_response(200, {{"valid", problems.empty()},
                               {"problems", problems_json(problems)}});
}

http_response admin_api::compare(const api_request& request) {
    error failure;
    const auto draft = value_or_error(
        [&] { return parse_rollout(request.message.body); }, failure);
    if (!draft)
        return malformed_response(failure);
    const auto current = in_force();
    const rollout_document before = current ? *current : rollout_document{};
    return json_response(200,
                         {{"revision", before.number},
                          {"changes", changes_json(diff(before, *draft))}});
}

http_response admin_api::apply(const operator_settings& by,
                               const api_request& request) {
    const json body = impl::parse_json(request.message.body);
    if (!body.is_object() || !body.contains("document") ||
        !body.contains("operation_id") || !body["operation_id"].is_string())
        return error_response(
            400, "expected an object with operation_id (string) and document");
    error failure;
    auto draft = value_or_error(
        [&] { return parse_rollout(body["document"].dump()); }, failure);
    if (!draft)
        return malformed_response(failure);
    return submit(by, std::move(*draft),
                  body["operation_id"].get<std::string>());
}

http_response admin_api::roll_back(const operator_settings& by,
                                   const api_request& request) {
    const json body = impl::parse_json(request.message.body);
    if (!body.is_object() || !body.contains("to") ||
        !body["to"].is_number_unsigned() || !body.contains("operation_id") ||
        !body["operation_id"].is_string())
        return error_response(
            400,
            "expected an object with operation_id (string) and to (revision)");
    const auto current = in_force();
    auto earlier = read_history(body["to"].get<revision>());
    if (!earlier || !current)
        return error_response(404, "revision not found or unreadable");
    earlier->based_on = current->number;
    return submit(by, std::move(*earlier),
                  body["operation_id"].get<std::string>());
}

std::optional<http_response>
admin_api::permission_error(const operator_settings& by,
                            const rollout_document& draft) {
    if (allows_all_organisations(by.organisations))
        return std::nullopt;
    const auto base = read_base(draft.based_on);
    if (!base)
        return error_response(503, "the draft's base revision cannot be read");
    if (may_change(by.organisations, *base, draft))
        return std::nullopt;
    return error_response(
        403, "the token permits changes to its own organisations only");
}

http_response admin_api::submit(const operator_settings& by,
                                rollout_document draft,
                                const std::string& operation_id) {
    if (!is_operation_id(operation_id))
        return error_response(400, "operation_id is empty or too long");
    if (auto refusal = permission_error(by, draft))
        return *std::move(refusal);
    acceptance_request request;
    request.based_on = draft.based_on;
    request.draft = std::move(draft);
    request.operator_name = by.name;
    request.operation_id = operation_id;
    request.accepted_at =
        absl::FormatTime(absl::RFC3339_sec, absl::Now(), absl::UTCTimeZone());
    const revision based_on = request.based_on;
    struct shared_result {
        absl::Notification done;
        acceptance_result value;
    };
    const auto result = std::make_shared<shared_result>();
    result->value = not_yet_known{operation_id, "acceptance still in progress"};
    core_.post("admin", [this, request, result] {
        configuration_.accept(request,
                              [result](const acceptance_result& value) {
                                  result->value = value;
                                  result->done.Notify();
                              });
    });
    const bool done = result->done.WaitForNotificationWithTimeout(
        absl::FromChrono(acceptance_timeout));
    const acceptance_result outcome =
        done ? result->value
             : acceptance_result(
                   not_yet_known{operation_id, "acceptance still in progress"});
    log_event(log_level::info, "acceptance",
              {{"operator", by.name},
               {"operation", operation_id},
               {"based_on", based_on},
               {"outcome", outcome.index()}});
    return result_response(outcome, based_on);
}

http_response admin_api::show_operation(const api_request& request) {
    const std::string& id = request.captures[0];
    const std::string base = query_value(request, "based_on");
    const bool valid = !base.empty() && base.size() < 19 &&
                       std::all_of(base.begin(), base.end(), [](char digit) {
                           return digit >= '0' && digit <= '9';
                       });
    if (!valid)
        return error_response(400, "based_on must be a revision number");
    const revision based_on = std::stoull(base);
    const acceptance_result result =
        run(acceptance::resolve(id, based_on), client_);
    return result_response(result, based_on);
}

http_response admin_api::show_status() {
    const auto status = core_.call("admin", [this] {
        const auto document = configuration_.document();
        const auto highest = configuration_.highest();
        json out =
            core_.find<fleet_status>("fleet_status").describe(document.get());
        out["in_force"] = document ? document->number : 0;
        out["highest"] = highest ? highest->number : 0;
        return out;
    });
    return json_response(200, status.value_or(json::object()));
}

http_response admin_api::show_history() {
    const auto current = in_force();
    json out = json::array();
    const revision last = current ? current->number : 0;
    for (revision number = last; number > 0; --number) {
        if (last - number >= max_listed_revisions)
            break;
        const auto document =
            number == last ? std::optional(*current) : read_history(number);
        if (!document)
            break;
        out.push_back({{"revision", document->number},
                       {"based_on", document->based_on},
                       {"accepted_by", document->accepted_by},
                       {"accepted_at", document->accepted_at},
                       {"operation_id", document->operation_id}});
    }
    return json_response(200, {{"revisions", out}});
}

http_response admin_api::show_revision(const api_request& request) {
    const auto document = read_history(std::stoull(request.captures[0]));
    if (!document)
        return error_response(404, "revision not found or unreadable");
    return json_response(200, document_json(*document));
}

} // namespace ospreystage
