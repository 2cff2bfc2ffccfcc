#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <cstdint>
#include <vector>

namespace Filbertmount {

/** The crash of an upstream during a run of a request. */
struct CrashEvidence {
    ServiceName service;
    UpstreamId upstream;
    /** The instance that ran the request. */
    InstanceId origin;
    /** The instance that sent the strike to this one: the origin, or one that passed its history on. */
    InstanceId reporter;
    /** Number of the origin's message; identifies the strike together with the origin. */
    std::uint64_t sequence = 0;
    /** The run started when strikes of the request were already known. */
    bool underSuspicion = false;
    Instant at;
};

/** Strikes of one upstream within this time are the same crash, seen by several runs. */
constexpr Duration SameCrashTime = std::chrono::milliseconds(500);
/** Crashes of one and the same upstream that show that the request causes them. */
constexpr std::size_t CrashesOfSameUpstream = 3;

/** Returns the strikes that @p peer neither ran nor reported. */
std::vector<CrashEvidence> withoutPeer(const std::vector<CrashEvidence> &strikes, const InstanceId &peer);

/**
 * Returns whether the strikes of @p service show that the request crashes its upstreams: a run under suspicion crashed a
 * different upstream than another run, or one upstream crashed CrashesOfSameUpstream times, all but the first time under
 * suspicion. An upstream may return under its id, and a service may have a single one.
 */
bool confirmsCrashesOf(const ServiceName &service, const std::vector<CrashEvidence> &strikes);

/**
 * Returns whether the strikes show that the request crashes the upstreams of any service: a run under suspicion crashed an
 * upstream of another service than another run did.
 */
bool confirmsCrashesOfAll(const std::vector<CrashEvidence> &strikes);

} // namespace Filbertmount
