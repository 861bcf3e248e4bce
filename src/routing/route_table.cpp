#include <ospreystage/routing/route_table.hpp>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

std::string normalize_host(std::string_view host) {
    const std::string_view name = host.substr(0, host.find(':'));
    return absl::AsciiStrToLower({name.data(), name.size()});
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

} // namespace

bool route_table::apply(routing_configuration configuration) {
    if (configuration.version <= current_.version)
        return false;
    current_ = std::move(configuration);
    routes_by_host_.clear();
    organisations_by_key_.clear();
    for (std::size_t index = 0; index < current_.routes.size(); ++index)
        routes_by_host_[normalize_host(current_.routes[index].host)].push_back(
            index);
    for (auto& [host, indexes] : routes_by_host_)
        std::stable_sort(indexes.begin(), indexes.end(),
                         [this](std::size_t left, std::size_t right) {
                             return current_.routes[left].path_prefix.size() >
                                    current_.routes[right].path_prefix.size();
                         });
    for (std::size_t index = 0; index < current_.organisations.size(); ++index)
        for (const std::string& key : current_.organisations[index].keys)
            organisations_by_key_.emplace(key, index);
    return true;
}

nlohmann::json route_table::with_configuration(nlohmann::json fields,
                                               instant now) const {
    fields["configuration"] = current_.version;
    if (!origin_)
        return fields;
    fields["configuration_era"] = origin_->position.era;
    fields["configuration_revision"] = origin_->position.revision;
    fields["configuration_age_ms"] = (now - origin_->read_at) / milliseconds(1);
    fields["configuration_source"] =
        origin_->source.empty() ? "store" : origin_->source;
    fields["configuration_known_by"] = to_string(origin_->way);
    return fields;
}

routing_decision route_table::decide(std::string_view host,
                                     std::string_view target,
                                     std::string_view key) const {
    if (!is_configured())
        return not_configured{};
    routed_request routed;
    routed.matched_route = find_route(host, target);
    if (routed.matched_route == nullptr)
        return no_route{};
    routed.priority = routed.matched_route->priority;
    if (current_.organisations.empty())
        return routed;
    const auto key_entry = organisations_by_key_.find(std::string(key));
    if (key_entry != organisations_by_key_.end()) {
        routed.organisation = &current_.organisations[key_entry->second];
        routed.priority =
            routed.organisation->priority.value_or(routed.priority);
    } else if (!routed.matched_route->is_public) {
        return unknown_key{};
    }
    return routed;
}

const route* route_table::find_route(std::string_view host,
                                     std::string_view target) const {
    const auto routes = routes_by_host_.find(normalize_host(host));
    if (routes == routes_by_host_.end())
        return nullptr;
    const std::string_view path = path_of(target);
    const auto found = std::find_if(
        routes->second.begin(), routes->second.end(), [&](std::size_t index) {
            return path.starts_with(current_.routes[index].path_prefix);
        });
    return found == routes->second.end() ? nullptr : &current_.routes[*found];
}

const organisation_keys*
route_table::organisation(const std::string& name) const {
    const auto found = std::find_if(
        current_.organisations.begin(), current_.organisations.end(),
        [&](const organisation_keys& each) { return each.name == name; });
    return found == current_.organisations.end() ? nullptr : &*found;
}

const std::string& route_table::choose_service(const route& matched_route,
                                               double draw) {
    double total = 0;
    for (const route_target& target : matched_route.targets)
        total += target.weight;
    double remaining = draw * total;
    for (const route_target& target : matched_route.targets) {
        remaining -= target.weight;
        if (remaining < 0)
            return target.service;
    }
    return matched_route.targets.back().service;
}

const service_description* route_table::service(const std::string& name) const {
    const auto found =
        std::find_if(current_.services.begin(), current_.services.end(),
                     [&](const service_description& description) {
                         return description.name == name;
                     });
    return found == current_.services.end() ? nullptr : &*found;
}

} // namespace ospreystage
