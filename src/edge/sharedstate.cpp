#include <filbertmount/edge/sharedstate.h>

namespace Filbertmount {

std::string_view stateKindName(StateKind kind)
{
    switch (kind) {
    case StateKind::Routes:
        return "routes";
    case StateKind::Upstreams:
        return "upstreams";
    case StateKind::Instances:
        return "instances";
    case StateKind::Evacuations:
        return "evacuations";
    }
    return "unknown";
}

std::string_view storeProblemName(StoreProblem problem)
{
    switch (problem) {
    case StoreProblem::Unavailable:
        return "unavailable";
    case StoreProblem::RateLimited:
        return "rate-limited";
    case StoreProblem::HistoryGone:
        return "history-gone";
    case StoreProblem::Conflict:
        return "conflict";
    case StoreProblem::Missing:
        return "missing";
    case StoreProblem::Malformed:
        return "malformed";
    }
    return "unknown";
}

} // namespace Filbertmount
