#pragma once

#include <filbertmount/types/ids.h>

#include <optional>

namespace Filbertmount {

/**
 * The era of the store, as its responses and other instances state it. A higher one shows that the store has returned from an
 * older copy. Sans-I/O, not thread-safe.
 */
class KnownEra
{
public:
    /** Records an era that the store or another instance stated; a lower one than before comes from an old message. */
    void record(StoreEra era);
    /** The highest era that was stated; 0 before the first one. */
    [[nodiscard]] StoreEra latest() const;
    /** The era that was stated first; 0 before. Positions without an era belong to it: they come from before any return. */
    [[nodiscard]] StoreEra first() const;
    /** How often the era has risen. */
    [[nodiscard]] std::uint64_t returns() const;

private:
    std::optional<StoreEra> m_first;
    StoreEra m_latest;
    std::uint64_t m_returns = 0;
};

} // namespace Filbertmount
