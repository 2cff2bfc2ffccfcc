#include "edge/messagefragments.h"

#include <filbertmount/peer/peerdispatcher.h>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr std::uint32_t MaxFragments = (MaxEnvelopeBytes + MaxFragmentBytes - 1) / MaxFragmentBytes;

bool isValid(const Wire::Fragment &fragment)
{
    return fragment.count() <= MaxFragments && fragment.index() < fragment.count()
        && fragment.content().size() <= MaxFragmentBytes;
}

} // namespace

std::vector<Wire::Fragment> fragmentsOf(std::string_view encoded, std::uint64_t message)
{
    const std::size_t count = (encoded.size() + MaxFragmentBytes - 1) / MaxFragmentBytes;
    std::vector<Wire::Fragment> fragments(count);
    for (std::size_t index = 0; index < count; ++index) {
        fragments[index].set_message(message);
        fragments[index].set_index(static_cast<std::uint32_t>(index));
        fragments[index].set_count(static_cast<std::uint32_t>(count));
        fragments[index].set_content(std::string(encoded.substr(index * MaxFragmentBytes, MaxFragmentBytes)));
    }
    return fragments;
}

std::optional<std::string> FragmentJoiner::add(const InstanceId &from, const Wire::Fragment &fragment, Instant now)
{
    if (!isValid(fragment)) {
        return std::nullopt;
    }
    Pending &pending = m_pending[from];
    if (pending.message != fragment.message() || pending.count != fragment.count()) {
        m_pendingBytes -= pending.bytes;
        pending = {.message = fragment.message(), .count = fragment.count()};
    }
    pending.lastPartAt = now;
    if (pending.parts.try_emplace(fragment.index(), fragment.content()).second) {
        pending.bytes += fragment.content().size();
        m_pendingBytes += fragment.content().size();
    }
    if (pending.parts.size() < pending.count) {
        boundPending();
        return std::nullopt;
    }
    std::string encoded;
    encoded.reserve(pending.bytes);
    for (const auto &[index, content] : pending.parts) {
        encoded.append(content);
    }
    m_pendingBytes -= pending.bytes;
    m_pending.erase(from);
    return encoded;
}

std::size_t FragmentJoiner::pendingBytes() const
{
    return m_pendingBytes;
}

std::size_t FragmentJoiner::pendingSenders() const
{
    return m_pending.size();
}

void FragmentJoiner::boundPending()
{
    while (m_pendingBytes > MaxPendingBytes || m_pending.size() > MaxPendingSenders) {
        const auto oldest = std::min_element(m_pending.begin(), m_pending.end(), [](const auto &left, const auto &right) {
            return left.second.lastPartAt < right.second.lastPartAt;
        });
        m_pendingBytes -= oldest->second.bytes;
        m_pending.erase(oldest);
    }
}

} // namespace Filbertmount
