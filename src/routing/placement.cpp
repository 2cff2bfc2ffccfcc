#include <filbertmount/routing/placement.h>

namespace Filbertmount {

std::string_view attemptOutcomeName(AttemptOutcome outcome)
{
    switch (outcome) {
    case AttemptOutcome::Success:
        return "success";
    case AttemptOutcome::ServerError:
        return "server-error";
    case AttemptOutcome::RefusedDraining:
        return "refused-draining";
    case AttemptOutcome::RefusedShedding:
        return "refused-shedding";
    case AttemptOutcome::RefusedStarting:
        return "refused-starting";
    case AttemptOutcome::ConnectFailed:
        return "connect-failed";
    case AttemptOutcome::Broken:
        return "broken";
    case AttemptOutcome::TimedOut:
        return "timed-out";
    case AttemptOutcome::Cancelled:
        return "cancelled";
    case AttemptOutcome::Unused:
        return "unused";
    case AttemptOutcome::RefusedWithRoom:
        return "refused-with-room";
    }
    return "unknown";
}

} // namespace Filbertmount
