#include <ospreystage/serving/fair_shares.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace ospreystage {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();
/// Time between two updates after which the figures of before no longer count:
/// shortage has ended meanwhile.
constexpr seconds max_pause{2};

std::chrono::duration<double> in_seconds(instant::duration time) {
    return time;
}

} // namespace

double max_min_level(std::vector<double> demands, double capacity) {
    std::sort(demands.begin(), demands.end());
    double left = capacity;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const double level = left / static_cast<double>(demands.size() - index);
        if (demands[index] > level)
            return level;
        left -= demands[index];
    }
    return unlimited;
}

fair_shares::fair_shares(const options& limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

void fair_shares::update(std::uint64_t service, const service_demand& demand,
                         instant now) {
    service_record& record = services_[service];
    const bool is_first =
        record.updated_at == instant{} || now - record.updated_at > max_pause;
    const auto step = in_seconds(now - record.updated_at);
    record.updated_at = now;
    record.entries = demand.entries;
    record.oldest_age = demand.oldest_age;

    std::vector<double> demands;
    double served = 0;
    for (const auto& [organisation, figures] : demand.organisations) {
        demands.push_back(figures.total());
        served += figures.served;
    }
    // Under shortage the servers complete what they are sent: what all entries
    // sent lately is the capacity.
    record.capacity =
        is_first
            ? served
            : record.capacity +
                  (served - record.capacity) *
                      -std::expm1(-step / in_seconds(limits_.capacity_time));
    const double level = record.capacity > 0
                             ? max_min_level(demands, record.capacity)
                             : unlimited;

    absl::erase_if(record.organisations, [&](const auto& item) {
        return !demand.organisations.contains(item.first);
    });
    const double balance = in_seconds(limits_.balance_time).count();
    double deficits = 0;
    std::size_t limited = 0;
    for (const auto& [organisation, figures] : demand.organisations) {
        organisation_record& own = record.organisations[organisation];
        own.demand = figures;
        const double total = figures.total();
        if (is_first || total <= level) {
            own.deficit = 0;
            continue;
        }
        own.deficit =
            std::clamp(own.deficit + (level - figures.served) * step.count(),
                       -level * balance, level * balance);
        deficits += own.deficit;
        ++limited;
    }
    // Only differences between organisations are balanced. What all of them
    // got too much is a matter of the capacity; if it reduced the allowances,
    // spare room would be given to those that ask most.
    const double common =
        limited == 0 ? 0 : deficits / static_cast<double>(limited);
    for (auto& item : record.organisations) {
        organisation_record& own = item.second;
        const double total = own.demand.total();
        own.allowance = total;
        if (total <= level)
            continue;
        own.deficit -= common;
        own.allowance = std::clamp(
            level * limits_.shared_part + own.deficit / balance, 0.0, total);
    }
    for (auto& item : record.organisations)
        set_fractions(item.second);
}

share_verdict fair_shares::decide(const demand_request& request,
                                  server_room room, instant now) {
    if (room == server_room::none)
        return share_refused{
            false, figures(request.service, request.organisation, now)};
    const organisation_record* found =
        find(request.service, request.organisation);
    if (found == nullptr)
        return share_admitted{true};
    const std::uint32_t rank = std::min(request.rank, demand_ranks - 1);
    const double fraction = found->fractions.at(rank);
    if (fraction >= 1)
        return share_admitted{true};
    const auto [position, is_new] =
        credits_.try_emplace({request.service, request.organisation, rank}, 0);
    double& credit = position->second;
    // Entries that see few requests of an organisation would otherwise all
    // refuse the first ones.
    if (is_new)
        credit = std::uniform_real_distribution<double>(0, 1)(random_);
    credit += fraction;
    if (credit >= 1) {
        credit -= 1;
        return share_admitted{true};
    }
    if (room == server_room::spare)
        return share_admitted{false};
    return share_refused{true,
                         figures(request.service, request.organisation, now)};
}

share_figures fair_shares::figures(std::uint64_t service,
                                   std::uint64_t organisation,
                                   instant now) const {
    share_figures result;
    const auto of_service = services_.find(service);
    if (of_service == services_.end())
        return result;
    result.capacity = of_service->second.capacity;
    result.entries = of_service->second.entries;
    result.age = of_service->second.oldest_age +
                 std::chrono::duration_cast<milliseconds>(
                     now - of_service->second.updated_at);
    if (const organisation_record* found = find(service, organisation)) {
        result.received = found->demand.total();
        result.served = found->demand.served;
        result.share = found->allowance;
    }
    return result;
}

double fair_shares::own_rate(std::uint64_t service,
                             std::uint64_t organisation) const {
    const organisation_record* found = find(service, organisation);
    if (found == nullptr)
        return 0;
    const double total = found->demand.total();
    return total > 0 ? found->allowance * found->demand.own_received / total
                     : 0;
}

// ---- Details ---------------------------------------------------------------

/// Divides the allowance among the ranks: a part equally, the rest in order.
void fair_shares::set_fractions(organisation_record& record) const {
    const double total = record.demand.total();
    if (record.allowance >= total) {
        record.fractions.fill(1);
        return;
    }
    const double common = limits_.common_part * record.allowance / total;
    double left = record.allowance - common * total;
    for (std::size_t rank = 0; rank < demand_ranks; ++rank) {
        const double wanted = record.demand.received.at(rank) * (1 - common);
        if (left >= wanted) {
            record.fractions.at(rank) = left > 0 ? 1 : common;
            left -= wanted;
            continue;
        }
        record.fractions.at(rank) = common + left / wanted * (1 - common);
        left = 0;
    }
}

const fair_shares::organisation_record*
fair_shares::find(std::uint64_t service, std::uint64_t organisation) const {
    const auto of_service = services_.find(service);
    if (of_service == services_.end())
        return nullptr;
    const auto found = of_service->second.organisations.find(organisation);
    return found == of_service->second.organisations.end() ? nullptr
                                                           : &found->second;
}

} // namespace ospreystage
