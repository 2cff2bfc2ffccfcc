#pragma once

#include <filbertmount/types/ids.h>
#include <filbertmount/types/instant.h>

#include <peer.pb.h>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Filbertmount {

namespace Wire = ::filbertmount::peer;

/** Limit on the content of one fragment, so that it fits into a datagram with its envelope. */
inline constexpr std::size_t MaxFragmentBytes = 30'000;

/** Splits an encoded envelope. @param message number of the envelope among those of the sender */
std::vector<Wire::Fragment> fragmentsOf(std::string_view encoded, std::uint64_t message);

/**
 * Joins the fragments of received envelopes, one envelope per sender at a time. Sans-I/O, not thread-safe.
 *
 * An envelope that lost a fragment is dropped when the sender's next one arrives. The memory for incomplete envelopes is bounded:
 * the one that has waited longest for a fragment is dropped first.
 */
class FragmentJoiner
{
public:
    /** Limit on the bytes of all incomplete envelopes. */
    static constexpr std::size_t MaxPendingBytes = std::size_t{4} << 20U;
    /** Limit on the number of incomplete envelopes. */
    static constexpr std::size_t MaxPendingSenders = 256;

    /** Returns the encoded envelope when @p fragment was its last missing one. */
    std::optional<std::string> add(const InstanceId &from, const Wire::Fragment &fragment, Instant now);
    [[nodiscard]] std::size_t pendingBytes() const;
    [[nodiscard]] std::size_t pendingSenders() const;

private:
    struct Pending {
        std::uint64_t message = 0;
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> parts;
        std::size_t bytes = 0;
        Instant lastPartAt;
    };

    void boundPending();

    std::map<InstanceId, Pending> m_pending;
    std::size_t m_pendingBytes = 0;
};

} // namespace Filbertmount
