#include <filbertmount/routes/splitselector.h>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace Filbertmount {

namespace {

// A target gets the request once more than half of one is owed to it.
constexpr double OwedForRequest = 0.5;

double largestWeight(const std::vector<ForwardTarget> &targets)
{
    const auto largest =
        std::max_element(targets.begin(), targets.end(), [](const ForwardTarget &left, const ForwardTarget &right) {
            return left.weight < right.weight;
        });
    return largest->weight;
}

} // namespace

SplitSelector::SplitSelector(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<SplitSelector::Choice> SplitSelector::choicesFor(const std::vector<ForwardTarget> &targets)
{
    std::uniform_real_distribution<double> error(-OwedForRequest, OwedForRequest);
    // The sum of the weights themselves may exceed the range of a double.
    const double largest = largestWeight(targets);
    std::vector<Choice> choices(targets.size() - 1);
    double following = targets.back().weight / largest;
    for (std::size_t position = choices.size(); position-- > 0;) {
        const double weight = targets[position].weight / largest;
        following += weight;
        choices[position] = {.share = following > 0 ? weight / following : 0, .owed = error(m_random)};
    }
    return choices;
}

SplitSelector::Sequence &SplitSelector::sequenceOf(const ForwardRoute &route)
{
    Sequence &sequence = m_sequences[route.name];
    if (sequence.targets != route.targets) {
        sequence = {.targets = route.targets, .choices = choicesFor(route.targets)};
    }
    return sequence;
}

const ServiceName &SplitSelector::next(const ForwardRoute &route)
{
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    std::vector<Choice> &choices = sequenceOf(route).choices;
    for (std::size_t position = 0; position < choices.size(); ++position) {
        Choice &choice = choices[position];
        choice.owed += choice.share;
        if (choice.owed >= OwedForRequest) {
            choice.owed -= 1;
            return route.targets[position].service;
        }
    }
    return route.targets.back().service;
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
