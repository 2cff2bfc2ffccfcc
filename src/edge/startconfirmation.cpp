#include <filbertmount/edge/startconfirmation.h>

#include <algorithm>

namespace Filbertmount {

std::string_view stateCertaintyName(StateCertainty certainty)
{
    switch (certainty) {
    case StateCertainty::None:
        return "none";
    case StateCertainty::OldListing:
        return "old-listing";
    case StateCertainty::Instance:
        return "instance";
    case StateCertainty::Current:
        return "current";
    }
    return "unknown";
}

void StartConfirmation::restart(Instant now)
{
    m_hasListingFailed = false;
    for (auto &[kind, state] : m_kinds) {
        state.certainty = std::min(state.certainty, StateCertainty::Instance);
        state.knownSince = now;
    }
}

void StartConfirmation::record(StateKind kind, StateCertainty certainty, Instant now)
{
    KindState &state = m_kinds[kind];
    if (state.certainty == StateCertainty::None) {
        state.knownSince = now;
    }
    state.certainty = std::max(state.certainty, certainty);
}

void StartConfirmation::recordFailedListing()
{
    m_hasListingFailed = true;
}

StateCertainty StartConfirmation::certainty(StateKind kind) const
{
    const auto state = m_kinds.find(kind);
    return state == m_kinds.end() ? StateCertainty::None : state->second.certainty;
}

bool StartConfirmation::mayUse(StateKind kind, Instant now) const
{
    const auto state = m_kinds.find(kind);
    if (state == m_kinds.end()) {
        return false;
    }
    switch (state->second.certainty) {
    case StateCertainty::None:
    case StateCertainty::OldListing:
        return false;
    case StateCertainty::Instance:
        return m_hasListingFailed || now - state->second.knownSince >= MaxWait;
    case StateCertainty::Current:
        break;
    }
    return true;
}

} // namespace Filbertmount
