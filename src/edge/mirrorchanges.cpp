#include <filbertmount/edge/statemirror.h>

#include <algorithm>
#include <iterator>

namespace Filbertmount {

std::string_view stateOriginName(StateOrigin origin)
{
    switch (origin) {
    case StateOrigin::Watch:
        return "watch";
    case StateOrigin::Listing:
        return "listing";
    case StateOrigin::OldListing:
        return "old-listing";
    case StateOrigin::Instance:
        return "instance";
    }
    return "unknown";
}

std::string_view deletionOutcomeName(DeletionOutcome outcome)
{
    switch (outcome) {
    case DeletionOutcome::Removed:
        return "removed";
    case DeletionOutcome::Kept:
        return "kept";
    case DeletionOutcome::NotExpired:
        return "not-expired";
    case DeletionOutcome::NotRenewed:
        return "not-renewed";
    }
    return "unknown";
}

std::string_view lostEvacuationStepName(LostEvacuationStep step)
{
    switch (step) {
    case LostEvacuationStep::Missing:
        return "missing";
    case LostEvacuationStep::WrittenAgain:
        return "written-again";
    case LostEvacuationStep::Ended:
        return "ended";
    }
    return "unknown";
}

const std::vector<StateChange> &MirrorChanges::of(StateKind kind) const
{
    switch (kind) {
    case StateKind::Routes:
        return routes;
    case StateKind::Evacuations:
        return evacuations;
    case StateKind::Upstreams:
    case StateKind::Instances:
        break;
    }
    return upstreams;
}

void MirrorChanges::append(MirrorChanges other)
{
    const auto moveTo = [](auto &source, auto &target) {
        std::move(source.begin(), source.end(), std::back_inserter(target));
    };
    moveTo(other.routes, routes);
    moveTo(other.upstreams, upstreams);
    moveTo(other.evacuations, evacuations);
    moveTo(other.rejected, rejected);
    moveTo(other.lostEvacuations, lostEvacuations);
    moveTo(other.deletions, deletions);
    haveInstancesChanged = haveInstancesChanged || other.haveInstancesChanged;
}

} // namespace Filbertmount
