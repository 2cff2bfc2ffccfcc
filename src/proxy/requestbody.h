#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Filbertmount {

/**
 * Holds the part of a request body that has arrived and has not been sent.
 *
 * A body of up to MaxBufferedBytes is kept whole, so that it can be sent again. A longer one passes through in a window
 * of that size and can be sent once. Not thread-safe.
 */
class RequestBody
{
public:
    /** Bound of the memory that one request body takes. */
    static constexpr std::size_t MaxBufferedBytes = std::size_t{64} << 10U;

    /** Takes in what fits and returns its size. */
    std::size_t append(std::string_view data);
    void finish();

    /** Copies from @p offset on and returns the size; frees what was read of a body that is not kept whole. */
    std::size_t read(std::size_t offset, std::span<char> buffer);

    [[nodiscard]] bool finished() const
    {
        return m_finished;
    }
    [[nodiscard]] bool full() const
    {
        return m_data.size() >= MaxBufferedBytes;
    }
    /** Bytes that have arrived so far. */
    [[nodiscard]] std::size_t size() const
    {
        return m_discardedBytes + m_data.size();
    }
    /** Whether an attempt can still send the body from its first byte. */
    [[nodiscard]] bool replayable() const
    {
        return m_discardedBytes == 0;
    }
    /** The kept bytes; the whole body when it is finished and replayable. */
    [[nodiscard]] std::string_view buffered() const
    {
        return m_data;
    }

private:
    std::string m_data;
    std::size_t m_discardedBytes = 0;
    bool m_finished = false;
};

} // namespace Filbertmount
