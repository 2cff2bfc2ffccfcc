#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace Filbertmount {

/** The part of an answer body that has arrived and was not passed on. Not thread-safe. */
class ResponseBuffer
{
public:
    /** No more is taken from the upstream above this; curl delivers at most 16 KiB at a time on top of it. */
    static constexpr std::size_t HighWaterBytes = std::size_t{64} << 10U;
    /** The upstream is read on when no more than this is left. */
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
