#include <filbertmount/routes/splitselector.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <numeric>

namespace Filbertmount {

namespace {

int totalWeight(const std::vector<ForwardTarget> &targets)
{
    return std::accumulate(targets.begin(), targets.end(), 0, [](int sum, const ForwardTarget &target) {
        return sum + target.weight;
    });
}

} // namespace

SplitSelector::SplitSelector(std::uint64_t seed)
    : m_random(seed)
{
}

SplitSelector::Sequence &SplitSelector::sequenceOf(const ForwardRoute &route)
{
    Sequence &sequence = m_sequences[route.name];
    if (sequence.targets == route.targets) {
        return sequence;
    }
    sequence = {.targets = route.targets, .currentWeights = std::vector<int>(route.targets.size(), 0)};
    std::uniform_int_distribution<int> offset(0, std::max(0, totalWeight(route.targets) - 1));
    for (int steps = offset(m_random); steps > 0; --steps) {
        advance(sequence);
    }
    return sequence;
}

std::size_t SplitSelector::advance(Sequence &sequence)
{
    std::size_t chosen = 0;
    for (std::size_t position = 0; position < sequence.targets.size(); ++position) {
        sequence.currentWeights[position] += sequence.targets[position].weight;
        if (sequence.currentWeights[position] > sequence.currentWeights[chosen]) {
            chosen = position;
        }
    }
    sequence.currentWeights[chosen] -= totalWeight(sequence.targets);
    return chosen;
}

const ServiceName &SplitSelector::next(const ForwardRoute &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    return route.targets[advance(sequenceOf(route))].service;
}

void SplitSelector::retain(const RouteSet &routes)
{
    absl::flat_hash_set<std::string> names;
    for (const ForwardRoute &route : routes.routes) {
        names.insert(route.name);
    }
    absl::erase_if(m_sequences, [&](const auto &sequence) {
        return !names.contains(sequence.first);
    });
}

} // namespace Filbertmount
