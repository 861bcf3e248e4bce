#include <ospreystage/rollout/rollout.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

using json_value = nlohmann::json;

constexpr std::uint32_t max_percent = 100;
constexpr const char* every_organisation = "*";

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Validates one document and collects its problems.
class document_check {
  public:
    explicit document_check(const rollout_document& document)
        : document_(document) {}

    [[nodiscard]] std::vector<rollout_problem> run() && {
        check_names("/services", document_.services);
        check_names("/deployments", document_.deployments);
        check_names("/organisations", document_.organisations);
        check_names("/classes", document_.classes);
        check_services();
        for (std::size_t index = 0; index < document_.deployments.size();
             ++index)
            check_deployment(document_.deployments[index],
                             "/deployments/" + std::to_string(index));
        check_organisations();
        check_classes();
        return std::move(problems_);
    }

  private:
    void add(std::string field, std::string message) {
        problems_.push_back({std::move(field), std::move(message)});
    }

    template <typename Item>
    void check_names(const std::string& list, const std::vector<Item>& items) {
        absl::flat_hash_set<std::string> seen;
        for (std::size_t index = 0; index < items.size(); ++index)
            check_name(items[index].name,
                       list + "/" + std::to_string(index) + "/name", seen);
    }

    void check_name(const std::string& name, const std::string& field,
                    absl::flat_hash_set<std::string>& seen) {
        if (name.empty())
            add(field, "is empty");
        else if (!seen.insert(name).second)
            add(field, "names " + name + " twice");
    }

    void check_list(const std::vector<std::string>& names,
                    const std::string& field) {
        absl::flat_hash_set<std::string> seen;
        for (std::size_t index = 0; index < names.size(); ++index)
            check_name(names[index], field + "/" + std::to_string(index), seen);
    }

    void check_services() {
        for (std::size_t index = 0; index < document_.services.size();
             ++index) {
            const service& item = document_.services[index];
            const std::string field = "/services/" + std::to_string(index);
            check_list(item.vms, field + "/vms");
            check_list(item.non_idempotent_routes,
                       field + "/non_idempotent_routes");
        }
    }

    void check_deployment(const deployment& item, const std::string& field) {
        if (!is_digest(item.version))
            add(field + "/version", "is not a SHA-256 in lower-case hex");
        check_list(item.vms, field + "/vms");
        check_service_of(item, field);
        if (!item.base.empty())
            check_base_of(item, field);
        check_traffic(item, field);
    }

    void check_service_of(const deployment& item, const std::string& field) {
        const service* owner = document_.find_service(item.service);
        if (owner == nullptr) {
            add(field + "/service", "unknown service " + item.service);
            return;
        }
        if (owner->kind == service_kind::plain)
            add(field + "/service", "a plain service has no deployments");
        for (std::size_t index = 0; index < item.vms.size(); ++index) {
            if (!contains(owner->vms, item.vms[index]))
                add(field + "/vms/" + std::to_string(index),
                    item.vms[index] + " is not a VM of " + item.service);
        }
    }

    void check_base_of(const deployment& item, const std::string& field) {
        const deployment* base = document_.find_deployment(item.base);
        if (base == nullptr) {
            add(field + "/base", "unknown deployment " + item.base);
            return;
        }
        if (!base->base.empty())
            add(field + "/base", item.base + " is itself an adapter");
        if (base->service != item.service)
            add(field + "/base", item.base + " belongs to another service");
        for (std::size_t index = 0; index < item.vms.size(); ++index) {
            if (!contains(base->vms, item.vms[index]))
                add(field + "/vms/" + std::to_string(index),
                    item.base + " is not on " + item.vms[index]);
        }
    }

    void check_traffic(const deployment& item, const std::string& field) {
        absl::flat_hash_set<std::string> seen;
        for (std::size_t index = 0; index < item.traffic.size(); ++index) {
            const traffic_rule& rule = item.traffic[index];
            const std::string place =
                field + "/traffic/" + std::to_string(index);
            check_name(rule.organisation, place + "/organisation", seen);
            if (rule.organisation != every_organisation &&
                document_.find_organisation(rule.organisation) == nullptr)
                add(place + "/organisation",
                    "unknown organisation " + rule.organisation);
            check_percent(item, rule, place + "/percent");
        }
    }

    void check_percent(const deployment& item, const traffic_rule& rule,
                       const std::string& field) {
        if (rule.percent > max_percent) {
            add(field, "is above 100");
            return;
        }
        std::uint32_t& sum = percent_[{item.service, rule.organisation}];
        const bool was_within_limit = sum <= max_percent;
        sum += rule.percent;
        if (was_within_limit && sum > max_percent)
            add(field, "the sum for " + rule.organisation + " at " +
                           item.service + " is above 100");
    }

    void check_organisations() {
        for (std::size_t index = 0; index < document_.organisations.size();
             ++index) {
            const organisation& item = document_.organisations[index];
            const std::string field = "/organisations/" + std::to_string(index);
            if (item.weight == 0)
                add(field + "/weight", "must be greater than 0");
            if (item.name == every_organisation)
                add(field + "/name", "* is reserved for all organisations");
        }
    }

    void check_classes() {
        for (std::size_t index = 0; index < document_.classes.size(); ++index) {
            const request_class& item = document_.classes[index];
            const std::string field = "/classes/" + std::to_string(index);
            if (item.deadline <= milliseconds::zero())
                add(field + "/deadline_ms", "must be greater than 0");
            if (item.first_token > item.deadline)
                add(field + "/first_token_ms", "is longer than deadline_ms");
        }
    }

    const rollout_document& document_;
    std::vector<rollout_problem> problems_;
    absl::flat_hash_map<std::pair<std::string, std::string>, std::uint32_t>
        percent_;
};

/// Converts a list of named items to an object, so that the JSON pointer of an
/// item does not change when others are added or removed.
json_value key_by(const json_value& list, const char* key) {
    json_value object = json_value::object();
    for (const json_value& item : list)
        object[item.at(key).get<std::string>()] = item;
    return object;
}

json_value to_keyed_json(const rollout_document& document) {
    const auto json = json_value::parse(to_json_text(document));
    json_value keyed;
    for (const char* list :
         {"services", "deployments", "organisations", "classes"})
        keyed[list] = key_by(json.at(list), "name");
    for (json_value& item : keyed["deployments"])
        item["traffic"] = key_by(item.at("traffic"), "organisation");
    return keyed;
}

void collect_changes(const json_value& before, const json_value& after,
                     const json_value::json_pointer& field,
                     std::vector<rollout_change>& changes) {
    if (before == after)
        return;
    if (!before.is_object() || !after.is_object()) {
        changes.push_back({field.to_string(),
                           before.is_null() ? "" : before.dump(),
                           after.is_null() ? "" : after.dump()});
        return;
    }
    json_value names = before;
    names.update(after);
    for (const auto& [name, unused] : names.items())
        collect_changes(before.value(name, json_value()),
                        after.value(name, json_value()), field / name, changes);
}

} // namespace

std::vector<rollout_problem> validate(const rollout_document& document) {
    return document_check(document).run();
}

std::vector<rollout_change> diff(const rollout_document& before,
                                 const rollout_document& after) {
    std::vector<rollout_change> changes;
    collect_changes(to_keyed_json(before), to_keyed_json(after),
                    json_value::json_pointer(), changes);
    return changes;
}

} // namespace ospreystage
