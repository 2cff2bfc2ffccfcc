#include "proxy/requestbody.h"

#include <algorithm>
#include <cstring>

namespace Filbertmount {

std::size_t RequestBody::append(std::string_view data)
{
    const std::size_t accepted = std::min(data.size(), MaxBufferedBytes - m_data.size());
    m_data.append(data.substr(0, accepted));
    return accepted;
}

void RequestBody::finish()
{
    m_finished = true;
}

std::size_t RequestBody::read(std::size_t offset, std::span<char> buffer)
{
    const std::size_t start = offset - m_discardedBytes;
    const std::size_t size = std::min(buffer.size(), m_data.size() - start);
    std::memcpy(buffer.data(), m_data.data() + start, size);
    const bool completelyBuffered = m_finished && m_discardedBytes == 0;
    if (!completelyBuffered) {
        m_data.erase(0, start + size);
        m_discardedBytes += start + size;
    }
    return size;
}

} // namespace Filbertmount
