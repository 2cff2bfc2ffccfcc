#include "proxy/responsebuffer.h"

#include <algorithm>
#include <cstring>

namespace Filbertmount {

std::size_t ResponseBuffer::read(std::span<char> buffer)
{
    const std::size_t size = std::min(buffer.size(), unreadBytes());
    std::memcpy(buffer.data(), m_data.data() + m_readOffset, size);
    m_readOffset += size;
    // append() frees the read part only when nothing is unread. With a caller that is always slower than the upstream, that
    // never happens, and the buffer would grow without bound.
    if (m_readOffset >= LowWaterBytes) {
        m_data.erase(0, m_readOffset);
        m_readOffset = 0;
    }
    return size;
}

} // namespace Filbertmount
