#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Filbertmount {

/** The part of a response body that was received from the upstream and not yet sent to the caller. Not thread-safe. */
class ResponseBuffer
{
public:
    /** The transfer pauses at this size. The last block from curl may exceed it by up to 16 KiB. */
    static constexpr std::size_t HighWaterBytes = std::size_t{64} << 10U;
    /** The transfer resumes once no more than this is unread. */
    static constexpr std::size_t LowWaterBytes = HighWaterBytes / 2;

    [[nodiscard]] bool full() const
    {
        return unreadBytes() >= HighWaterBytes;
    }
    [[nodiscard]] std::size_t unreadBytes() const
    {
        return m_data.size() - m_readOffset;
    }
    void append(std::string_view data)
    {
        if (unreadBytes() == 0) {
            clear();
        }
        m_data.append(data);
    }
    std::size_t read(std::span<char> buffer);
    void clear()
    {
        m_data.clear();
        m_readOffset = 0;
    }

private:
    std::string m_data;
    std::size_t m_readOffset = 0;
};

} // namespace Filbertmount
