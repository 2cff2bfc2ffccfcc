#pragma once

#include <filbertmount/claims/claimoptions.h>
#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace Filbertmount {

/** Averages the response times of preferred writers and excludes a writer for a while after a timeout. Not thread-safe. */
class WriterHealth
{
public:
    explicit WriterHealth(const ClaimOptions &options);

    /** Returns the timeout of a message to @p writer. */
    [[nodiscard]] Duration timeout(const InstanceId &writer) const;
    /** Returns whether no message to @p writer timed out within ClaimOptions::writerSkipTime, so that it may get messages. */
    [[nodiscard]] bool isUsable(const InstanceId &writer, Instant now) const;
    void recordResponse(const InstanceId &writer, Duration responseTime);
    void recordTimeout(const InstanceId &writer, Instant now);
    /** Removes the state of instances that are not in @p members. */
    void retainMembers(const std::vector<InstanceId> &members);

private:
    struct State {
        /** Moving average. */
        Duration responseTime{0};
        Instant skippedUntil;
    };

    const ClaimOptions &m_options;
    absl::flat_hash_map<InstanceId, State> m_writers;
};

} // namespace Filbertmount
