#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace Filbertmount {

/**
 * A strongly typed string identifier: identifiers with different tags do not convert to each other.
 *
 * @tparam Tag a type used only to distinguish the kinds of identifiers
 */
template<class Tag>
class StringId
{
public:
    StringId() = default;
    explicit StringId(std::string value)
        : m_value(std::move(value))
    {
    }

    [[nodiscard]] const std::string &value() const
    {
        return m_value;
    }
    [[nodiscard]] bool empty() const
    {
        return m_value.empty();
    }

    auto operator<=>(const StringId &) const = default;

    template<class H>
    friend H AbslHashValue(H state, const StringId &id) // NOLINT(readability-identifier-naming): name required by Abseil
    {
        return H::combine(std::move(state), id.m_value);
    }
    friend std::ostream &operator<<(std::ostream &stream, const StringId &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

/**
 * A strongly typed unsigned 64-bit number: numbers with different tags do not convert to each other.
 *
 * @tparam Tag a type used only to distinguish the kinds of numbers
 */
template<class Tag>
class NumberId
{
public:
    constexpr NumberId() = default;
    constexpr explicit NumberId(std::uint64_t value)
        : m_value(value)
    {
    }

    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }

    constexpr auto operator<=>(const NumberId &) const = default;

    template<class H>
    friend H AbslHashValue(H state, const NumberId &id) // NOLINT(readability-identifier-naming): name required by Abseil
    {
        return H::combine(std::move(state), id.m_value);
    }
    friend std::ostream &operator<<(std::ostream &stream, const NumberId &id)
    {
        return stream << id.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

using ServiceName = StringId<struct ServiceNameTag>;
using TeamName = StringId<struct TeamNameTag>;
/** Names a client account; sent to upstreams. */
using AccountName = StringId<struct AccountNameTag>;
using UpstreamId = StringId<struct UpstreamIdTag>;
/** Identifies one process run of filbertmountd; a restarted process has a new one. */
using InstanceId = StringId<struct InstanceIdTag>;
using AvailabilityZone = StringId<struct AvailabilityZoneTag>;
using Region = StringId<struct RegionTag>;

/** Counts how often the platform's store has returned from an older copy of itself; 0 if it does not state that. */
using StoreEra = NumberId<struct StoreEraTag>;
/** Increases each time a member refutes a suspicion or an upstream is replaced under the same id. */
using Incarnation = NumberId<struct IncarnationTag>;
/** Unique within one process run of an entry instance. */
using RequestId = NumberId<struct RequestIdTag>;

/**
 * A position in the history of the platform's store: the version that it assigned to an object, or that of its whole state. It
 * increases with each write.
 *
 * When the store returns from an older copy, its numbers go back and are given out again, and its era rises. A position of a
 * later era is therefore later, whatever its number.
 */
class Revision
{
public:
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t value, StoreEra era = {})
        : m_era(era)
        , m_value(value)
    {
    }

    /** The number that the store gave out in era(). */
    [[nodiscard]] constexpr std::uint64_t value() const
    {
        return m_value;
    }
    [[nodiscard]] constexpr StoreEra era() const
    {
        return m_era;
    }

    constexpr auto operator<=>(const Revision &) const = default;

    template<class H>
    friend H AbslHashValue(H state, const Revision &revision) // NOLINT(readability-identifier-naming): name required by Abseil
    {
        return H::combine(std::move(state), revision.m_era, revision.m_value);
    }
    friend std::ostream &operator<<(std::ostream &stream, const Revision &revision)
    {
        stream << revision.m_value;
        return revision.m_era == StoreEra() ? stream : stream << " of era " << revision.m_era;
    }

private:
    // First, because it decides the order.
    StoreEra m_era;
    std::uint64_t m_value = 0;
};

} // namespace Filbertmount
