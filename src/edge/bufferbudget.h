#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

namespace Filbertmount {

/** Limits the memory that buffered responses take in this process together. Outlives its reservations. Runs on the IoLoop. */
class BufferBudget
{
public:
    explicit BufferBudget(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /** Little room is left; new requests should be refused before they run, so that those in progress can finish. */
    [[nodiscard]] bool isNearlyUsedUp() const
    {
        return m_used >= m_capacity / 4 * 3;
    }

    /** In bytes. */
    [[nodiscard]] std::size_t used() const
    {
        return m_used;
    }

private:
    friend class BufferReservation;

    std::size_t m_capacity;
    std::size_t m_used = 0;
};

/** The part of a BufferBudget that one response takes; returned when this object is destroyed. */
class BufferReservation
{
public:
    /** A response of up to this many bytes needs no reservation, so that large ones do not displace ordinary ones. */
    static constexpr std::size_t FreeBytes = std::size_t{64} << 10U;

    /** Reserves nothing and accepts any size. */
    BufferReservation() = default;
    explicit BufferReservation(BufferBudget *budget)
        : m_budget(budget)
    {
    }
    BufferReservation(BufferReservation &&other) noexcept
        : m_budget(std::exchange(other.m_budget, nullptr))
        , m_reserved(std::exchange(other.m_reserved, 0))
    {
    }
    BufferReservation &operator=(BufferReservation &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_reserved, other.m_reserved);
        return *this;
    }
    BufferReservation(const BufferReservation &) = delete;
    BufferReservation &operator=(const BufferReservation &) = delete;
    ~BufferReservation()
    {
        if (m_budget != nullptr) {
            m_budget->m_used -= m_reserved;
        }
    }

    /** Changes the reservation to a response of @p bytes; returns false and changes nothing when the budget does not allow it. */
    bool resize(std::size_t bytes)
    {
        if (m_budget == nullptr) {
            return true;
        }
        const std::size_t wanted = bytes - std::min(bytes, FreeBytes);
        const std::size_t usedByOthers = m_budget->m_used - m_reserved;
        if (wanted > m_reserved && wanted > m_budget->m_capacity - std::min(m_budget->m_capacity, usedByOthers)) {
            return false;
        }
        m_budget->m_used = usedByOthers + wanted;
        m_reserved = wanted;
        return true;
    }

private:
    BufferBudget *m_budget = nullptr;
    std::size_t m_reserved = 0;
};

} // namespace Filbertmount
