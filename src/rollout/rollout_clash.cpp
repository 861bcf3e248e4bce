#include <ospreystage/rollout/acceptance.hpp>

#include <map>
#include <utility>

namespace ospreystage {

namespace {

bool is_within(const std::string& inner, const std::string& outer) {
    return inner == outer || inner.starts_with(outer + "/");
}

bool overlap(const std::string& left, const std::string& right) {
    return is_within(left, right) || is_within(right, left);
}

} // namespace

std::vector<rollout_clash>
find_clashes(const std::vector<rollout_document>& chain,
             const rollout_document& draft) {
    if (chain.empty())
        return {};
    const std::vector<rollout_change> ours = diff(chain.front(), draft);
    const std::vector<rollout_change> theirs =
        diff(chain.front(), chain.back());
    std::map<std::string, rollout_clash> found;
    for (const rollout_change& their : theirs) {
        for (const rollout_change& our : ours) {
            if (overlap(their.field, our.field) && their != our)
                found[their.field] = {their.field, our.after, their.after, "",
                                      0};
        }
    }
    for (std::size_t index = 1; index < chain.size(); ++index) {
        for (const auto& change : diff(chain[index - 1], chain[index])) {
            for (auto& [field, clash] : found) {
                if (!overlap(field, change.field))
                    continue;
                clash.changed_by = chain[index].accepted_by;
                clash.changed_in = chain[index].number;
            }
        }
    }
    std::vector<rollout_clash> clashes;
    clashes.reserve(found.size());
    for (auto& [field, clash] : found)
        clashes.push_back(std::move(clash));
    return clashes;
}

} // namespace ospreystage
