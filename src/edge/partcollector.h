#pragma once

#include <filbertmount/edge/sharedstate.h>
#include <filbertmount/types/ids.h>

#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Filbertmount {

/** One part of a set of changes that does not fit into one message. */
struct ChangePart {
    InstanceId from;
    Revision revision;
    /** The set contains changes; otherwise, it contains all objects. */
    bool isDifference = false;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<StateChange> changes;

    /** Whether the numbers are consistent and the set has no more parts than any sender makes. */
    [[nodiscard]] bool isValid() const
    {
        constexpr std::uint32_t maxParts = 4096;
        return parts <= maxParts && part < parts;
    }
};

/** Joins the parts of one set at a time; a part of another set discards those collected before. */
class PartCollector
{
public:
    /** Returns the complete set when @p received was its last missing part. @p received is valid. */
    std::optional<std::vector<StateChange>> add(ChangePart received)
    {
        if (m_from != received.from || m_revision != received.revision || m_isDifference != received.isDifference) {
            m_parts.clear();
            m_from = received.from;
            m_revision = received.revision;
            m_isDifference = received.isDifference;
        }
        m_parts[received.part] = std::move(received.changes);
        if (m_parts.size() < received.parts) {
            return std::nullopt;
        }
        std::vector<StateChange> all;
        for (auto &[number, changes] : m_parts) {
            std::move(changes.begin(), changes.end(), std::back_inserter(all));
        }
        m_parts.clear();
        return all;
    }

private:
    InstanceId m_from;
    Revision m_revision;
    bool m_isDifference = false;
    std::map<std::uint32_t, std::vector<StateChange>> m_parts;
};

} // namespace Filbertmount
