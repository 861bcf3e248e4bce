#include <ospreystage/serving/residency.hpp>

#include <algorithm>

namespace ospreystage {

void allowed_regions::restrict_to(const std::vector<std::string>& names) {
    if (names.empty())
        return;
    if (!names_) {
        names_ = names;
        return;
    }
    std::erase_if(*names_, [&](const std::string& name) {
        return std::find(names.begin(), names.end(), name) == names.end();
    });
}

void allowed_regions::restrict_to(const allowed_regions& other) {
    if (!other.names_)
        return;
    if (!names_) {
        names_ = other.names_;
        return;
    }
    std::erase_if(*names_,
                  [&](const std::string& name) { return !other.allows(name); });
}

bool allowed_regions::allows(std::string_view region) const {
    return !names_ ||
           std::find(names_->begin(), names_->end(), region) != names_->end();
}

allowed_regions regions_of(const route* matched_route,
                           const organisation_keys* organisation) {
    allowed_regions result;
    if (matched_route != nullptr)
        result.restrict_to(matched_route->regions);
    if (organisation != nullptr)
        result.restrict_to(organisation->regions);
    return result;
}

allowed_regions current_regions(const allowed_regions& accepted,
                                std::string_view host, std::string_view target,
                                const std::string& organisation,
                                const route_table& current) {
    allowed_regions result = accepted;
    result.restrict_to(regions_of(current.find_route(host, target),
                                  current.organisation(organisation)));
    return result;
}

} // namespace ospreystage
