#include <filbertmount/quarantine/crashevidence.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace Filbertmount {

namespace {

/** Whether @p areDifferent holds for a strike under suspicion and another one. */
template<class Difference>
bool hasSuspectedPair(const std::vector<CrashEvidence> &strikes, Difference areDifferent)
{
    return std::any_of(strikes.begin(), strikes.end(), [&](const CrashEvidence &suspected) {
        return suspected.underSuspicion && std::any_of(strikes.begin(), strikes.end(), [&](const CrashEvidence &other) {
                   return areDifferent(suspected, other);
               });
    });
}

/** Whether one upstream crashed CrashesOfSameUpstream times. @p strikes are of one service. */
bool hasRepeatedCrash(std::vector<CrashEvidence> strikes)
{
    std::sort(strikes.begin(), strikes.end(), [](const CrashEvidence &left, const CrashEvidence &right) {
        return left.at < right.at;
    });
    struct Crashes {
        Instant last;
        std::size_t count = 0;
    };
    std::map<UpstreamId, Crashes> byUpstream;
    for (const CrashEvidence &strike : strikes) {
        Crashes &crashes = byUpstream[strike.upstream];
        const bool isFirst = crashes.count == 0;
        const bool isLater = strike.underSuspicion && strike.at - crashes.last >= SameCrashTime;
        if (isFirst || isLater) {
            ++crashes.count;
            crashes.last = strike.at;
        }
    }
    return std::any_of(byUpstream.begin(), byUpstream.end(), [](const auto &upstream) {
        return upstream.second.count >= CrashesOfSameUpstream;
    });
}

} // namespace

std::vector<CrashEvidence> withoutPeer(const std::vector<CrashEvidence> &strikes, const InstanceId &peer)
{
    std::vector<CrashEvidence> others;
    std::copy_if(strikes.begin(), strikes.end(), std::back_inserter(others), [&](const CrashEvidence &strike) {
        return strike.origin != peer && strike.reporter != peer;
    });
    return others;
}

bool confirmsCrashesOf(const ServiceName &service, const std::vector<CrashEvidence> &strikes)
{
    std::vector<CrashEvidence> own;
    std::copy_if(strikes.begin(), strikes.end(), std::back_inserter(own), [&](const CrashEvidence &strike) {
        return strike.service == service;
    });
    const bool hasTwoUpstreams = hasSuspectedPair(own, [](const CrashEvidence &left, const CrashEvidence &right) {
        return left.upstream != right.upstream;
    });
    return hasTwoUpstreams || hasRepeatedCrash(std::move(own));
}

bool confirmsCrashesOfAll(const std::vector<CrashEvidence> &strikes)
{
    return hasSuspectedPair(strikes, [](const CrashEvidence &left, const CrashEvidence &right) {
        return left.service != right.service;
    });
}

} // namespace Filbertmount
