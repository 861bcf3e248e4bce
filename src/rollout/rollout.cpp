#include <ospreystage/rollout/rollout.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace ospreystage {

namespace {

using json_value = nlohmann::json;

constexpr const char* schema_name = "ospreystage/rollout/v1";
constexpr int indent_spaces = 2;

template <typename Item>
const Item* find_named(const std::vector<Item>& items,
                       const std::string& name) {
    const auto found =
        std::find_if(items.begin(), items.end(),
                     [&](const Item& item) { return item.name == name; });
    return found == items.end() ? nullptr : &*found;
}

/// Keeps the first problem of a document; later ones are dropped.
class problem_recorder {
  public:
    void record(const std::string& field, const std::string& message) {
        if (!first_)
            first_ = rollout_problem{field, message};
    }
    [[nodiscard]] const std::optional<rollout_problem>& first() const noexcept {
        return first_;
    }

  private:
    std::optional<rollout_problem> first_;
};

/// Reads the fields of one JSON object and reports unknown fields.
class object_reader {
  public:
    object_reader(const json_value& object, std::string pointer,
                  problem_recorder& problems)
        : object_(object), pointer_(std::move(pointer)), problems_(problems) {
        if (!object_.is_object())
            problems_.record(pointer_, "is not an object");
    }

    void read(const char* name, std::string& out) {
        const json_value* value = find_field(name);
        if (value == nullptr)
            return;
        if (value->is_string())
            out = value->get<std::string>();
        else
            problems_.record(path(name), "is not a string");
    }

    void read(const char* name, std::uint64_t& out) {
        read_number(name, std::numeric_limits<std::uint64_t>::max(), out);
    }

    void read(const char* name, std::uint32_t& out) {
        std::uint64_t wide = out;
        read_number(name, std::numeric_limits<std::uint32_t>::max(), wide);
        out = static_cast<std::uint32_t>(wide);
    }

    void read(const char* name, milliseconds& out) {
        std::uint64_t wide = static_cast<std::uint64_t>(out.count());
        read_number(name, std::numeric_limits<std::uint32_t>::max(), wide);
        out = milliseconds(wide);
    }

    void read(const char* name, std::vector<std::string>& out) {
        read_items(name, [&](const json_value& item, const std::string& field) {
            if (item.is_string())
                out.push_back(item.get<std::string>());
            else
                problems_.record(field, "is not a string");
        });
    }

    /// Reads a list of objects, calling `read_object(reader, item)` for each.
    template <typename Item, typename Reader>
    void read_objects(const char* name, std::vector<Item>& out,
                      Reader read_object) {
        read_items(name, [&](const json_value& item, const std::string& field) {
            object_reader reader(item, field, problems_);
            Item decoded;
            read_object(reader, decoded);
            reader.finish();
            out.push_back(std::move(decoded));
        });
    }

    void report(const char* name, const std::string& message) {
        problems_.record(path(name), message);
    }

    /// Reports every field that was not read.
    void finish() {
        if (!object_.is_object())
            return;
        for (const auto& [name, value] : object_.items()) {
            if (!read_fields_.contains(name))
                problems_.record(path(name), "unknown field");
        }
    }

  private:
    [[nodiscard]] std::string path(const std::string& name) const {
        return (json_value::json_pointer(pointer_) / name).to_string();
    }

    [[nodiscard]] const json_value* find_field(const char* name) {
        read_fields_.insert(name);
        if (!object_.is_object())
            return nullptr;
        const auto found = object_.find(name);
        return found == object_.end() ? nullptr : &*found;
    }

    void read_number(const char* name, std::uint64_t limit,
                     std::uint64_t& out) {
        const json_value* value = find_field(name);
        if (value == nullptr)
            return;
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() > limit)
            problems_.record(path(name), "is not an integer from 0 to " +
                                             std::to_string(limit));
        else
            out = value->get<std::uint64_t>();
    }

    template <typename Reader>
    void read_items(const char* name, Reader read_item) {
        const json_value* value = find_field(name);
        if (value == nullptr)
            return;
        if (!value->is_array()) {
            problems_.record(path(name), "is not a list");
            return;
        }
        for (std::size_t index = 0; index < value->size(); ++index)
            read_item((*value)[index],
                      path(name) + "/" + std::to_string(index));
    }

    const json_value& object_;
    std::string pointer_;
    problem_recorder& problems_;
    std::set<std::string> read_fields_;
};

void read_service(object_reader& reader, service& out) {
    std::string kind = "engine";
    reader.read("name", out.name);
    reader.read("kind", kind);
    reader.read("vms", out.vms);
    reader.read("non_idempotent_routes", out.non_idempotent_routes);
    if (kind != "engine" && kind != "plain")
        reader.report("kind", "is neither engine nor plain");
    out.kind = kind == "plain" ? service_kind::plain : service_kind::engine;
}

void read_traffic_rule(object_reader& reader, traffic_rule& out) {
    reader.read("organisation", out.organisation);
    reader.read("percent", out.percent);
}

void read_deployment(object_reader& reader, deployment& out) {
    reader.read("name", out.name);
    reader.read("service", out.service);
    reader.read("base", out.base);
    reader.read("version", out.version);
    reader.read("priority", out.priority);
    reader.read("vms", out.vms);
    reader.read_objects("traffic", out.traffic, read_traffic_rule);
}

void read_organisation(object_reader& reader, organisation& out) {
    reader.read("name", out.name);
    reader.read("weight", out.weight);
    reader.read("requests_per_second", out.requests_per_second);
    reader.read("burst", out.burst);
}

void read_class(object_reader& reader, request_class& out) {
    reader.read("name", out.name);
    reader.read("first_token_ms", out.first_token);
    reader.read("deadline_ms", out.deadline);
    reader.read("priority", out.priority);
}

void read_document(object_reader& reader, rollout_document& out) {
    std::string schema;
    reader.read("schema", schema);
    if (schema != schema_name)
        reader.report("schema", std::string("is not ") + schema_name);
    reader.read("revision", out.number);
    reader.read("based_on", out.based_on);
    reader.read("operation_id", out.operation_id);
    reader.read("accepted_by", out.accepted_by);
    reader.read("accepted_at", out.accepted_at);
    reader.read_objects("services", out.services, read_service);
    reader.read_objects("deployments", out.deployments, read_deployment);
    reader.read_objects("organisations", out.organisations, read_organisation);
    reader.read_objects("classes", out.classes, read_class);
    reader.finish();
}

json_value to_json(const service& value) {
    return {{"name", value.name},
            {"kind", value.kind == service_kind::plain ? "plain" : "engine"},
            {"vms", value.vms},
            {"non_idempotent_routes", value.non_idempotent_routes}};
}

json_value to_json(const traffic_rule& value) {
    return {{"organisation", value.organisation}, {"percent", value.percent}};
}

json_value to_json(const organisation& value) {
    return {{"name", value.name},
            {"weight", value.weight},
            {"requests_per_second", value.requests_per_second},
            {"burst", value.burst}};
}

json_value to_json(const request_class& value) {
    return {{"name", value.name},
            {"first_token_ms", value.first_token.count()},
            {"deadline_ms", value.deadline.count()},
            {"priority", value.priority}};
}

json_value to_json(const deployment& value);

template <typename Item>
json_value to_json_list(const std::vector<Item>& items) {
    json_value list = json_value::array();
    for (const Item& item : items)
        list.push_back(to_json(item));
    return list;
}

json_value to_json(const deployment& value) {
    return {{"name", value.name},
            {"service", value.service},
            {"base", value.base},
            {"version", value.version},
            {"priority", value.priority},
            {"vms", value.vms},
            {"traffic", to_json_list(value.traffic)}};
}

} // namespace

const service* rollout_document::find_service(const std::string& name) const {
    return find_named(services, name);
}

const organisation*
rollout_document::find_organisation(const std::string& name) const {
    return find_named(organisations, name);
}

const request_class*
rollout_document::find_class(const std::string& name) const {
    return find_named(classes, name);
}

const deployment*
rollout_document::find_deployment(const std::string& name) const {
    return find_named(deployments, name);
}

leaf::result<rollout_document> parse_rollout(const std::string& json) {
    if (json.size() > max_document_bytes)
        return fail(error_code::too_large, "rollout.parse", "",
                    std::to_string(json.size()) +
                        " bytes exceed the limit of " +
                        std::to_string(max_document_bytes));
    try {
        const auto parsed = json_value::parse(json);
        problem_recorder problems;
        rollout_document document;
        object_reader reader(parsed, "", problems);
        read_document(reader, document);
        if (const auto& problem = problems.first())
            return fail(error_code::malformed, "rollout.parse", "",
                        problem->field + ": " + problem->message);
        return document;
    } catch (const json_value::exception& problem) {
        return fail(error_code::malformed, "rollout.parse", "", problem.what());
    }
}

std::string to_json_text(const rollout_document& document) {
    json_value json;
    json["schema"] = schema_name;
    json["revision"] = document.number;
    json["based_on"] = document.based_on;
    json["operation_id"] = document.operation_id;
    json["accepted_by"] = document.accepted_by;
    json["accepted_at"] = document.accepted_at;
    json["services"] = to_json_list(document.services);
    json["deployments"] = to_json_list(document.deployments);
    json["organisations"] = to_json_list(document.organisations);
    json["classes"] = to_json_list(document.classes);
    return json.dump(indent_spaces, ' ', false,
                     json_value::error_handler_t::replace);
}

} // namespace ospreystage
