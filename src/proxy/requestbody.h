#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Filbertmount {

/**
 * Buffers a request body between caller and upstream. Not thread-safe.
 *
 * A body that is finished before the buffer is full is kept, so that it can be sent again. A longer one is streamed through
 * the buffer and can be sent only once.
 */
class RequestBody
{
public:
    /** Memory limit of one request body. */
    static constexpr std::size_t MaxBufferedBytes = std::size_t{64} << 10U;

    /** Appends as much of @p data as fits and returns the size of that part. */
    std::size_t append(std::string_view data);
    void finish();

    /** Copies bytes from @p offset on and returns their number. Discards them unless the whole body is buffered. */
    std::size_t read(std::size_t offset, std::span<char> buffer);

    [[nodiscard]] bool finished() const
    {
        return m_finished;
    }
    [[nodiscard]] bool full() const
    {
        return m_data.size() >= MaxBufferedBytes;
    }
    /** Bytes received so far, including discarded ones. */
    [[nodiscard]] std::size_t size() const
    {
        return m_discardedBytes + m_data.size();
    }
    /** Whether an attempt can still send the body from its first byte. */
    [[nodiscard]] bool replayable() const
    {
        return m_discardedBytes == 0;
    }
    /** The buffered bytes; the complete body if it is finished and replayable. */
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
