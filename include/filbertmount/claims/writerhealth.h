#pragma once

#include <filbertmount/claims/claimoptions.h>
#include <filbertmount/types/ids.h>

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace Filbertmount {

/** Learns how long preferred writers take to answer and passes over those that do not. Not thread-safe. */
class WriterHealth
{
public:
    explicit WriterHealth(const ClaimOptions &options);

    /** Returns how long to wait for an answer of @p writer. */
    [[nodiscard]] Duration timeout(const InstanceId &writer) const;
    [[nodiscard]] bool usable(const InstanceId &writer, Instant now) const;
    void recordAnswer(const InstanceId &writer, Duration answerTime);
    void recordTimeout(const InstanceId &writer, Instant now);
    /** Forgets instances that are not in @p members. */
    void retainMembers(const std::vector<InstanceId> &members);

private:
    struct State {
        Duration answerTime{0};
        Instant skippedUntil;
    };

    const ClaimOptions &m_options;
    absl::flat_hash_map<InstanceId, State> m_writers;
};

} // namespace Filbertmount
