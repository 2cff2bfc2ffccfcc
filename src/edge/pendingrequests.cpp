#include "edge/pendingrequests.h"

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

constexpr std::size_t MaxRequests = 128;
// A large account that switches to a new key sends some requests within the wait; a caller with a wrong key gets no more room.
constexpr std::size_t MaxRequestsPerKey = 16;
constexpr std::size_t MaxBytes = std::size_t{2} << 20U;

std::size_t bytesOf(const ServerRequest &request)
{
    std::size_t bytes = request.target.size() + request.body.size();
    for (const Header &header : request.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

PendingRequests::Entry::Entry(PendingRequests &owner, ServerRequest heldRequest, ResponseHandler heldHandler)
    : request(std::move(heldRequest))
    , respond(std::move(heldHandler))
    , m_owner(owner)
{
}

void PendingRequests::Entry::abandon()
{
    if (forwarded) {
        forwarded->abandon();
        return;
    }
    isHeld = false;
    std::erase(m_owner.m_entries, shared_from_this());
}

void PendingRequests::Entry::endIfWaiting()
{
    if (forwarded) {
        forwarded->endIfWaiting();
        return;
    }
    const std::shared_ptr<Entry> self = shared_from_this();
    std::erase(m_owner.m_entries, self);
    m_owner.retry(self, true);
}

PendingRequests::PendingRequests(IoLoop &loop, Handler retry)
    : m_timer(loop)
    , m_retry(std::move(retry))
{
}

bool PendingRequests::hasRoom(const ServerRequest &request, std::uint64_t keyId) const
{
    if (m_entries.size() >= MaxRequests) {
        return false;
    }
    std::size_t ofKey = 0;
    std::size_t bytes = 0;
    for (const std::shared_ptr<Entry> &entry : m_entries) {
        ofKey += entry->keyId == keyId ? 1 : 0;
        bytes += entry->bytes;
    }
    return ofKey < MaxRequestsPerKey && bytes + bytesOf(request) <= MaxBytes;
}

std::shared_ptr<ActiveRequest>
PendingRequests::hold(ServerRequest request, ResponseHandler respond, std::uint64_t keyId, Instant until)
{
    const std::size_t bytes = bytesOf(request);
    auto entry = std::make_shared<Entry>(*this, std::move(request), std::move(respond));
    entry->bytes = bytes;
    entry->keyId = keyId;
    entry->until = until;
    m_entries.push_back(entry);
    startTimer();
    return entry;
}

void PendingRequests::retry(const std::shared_ptr<Entry> &entry, bool isFinal)
{
    if (std::exchange(entry->isHeld, false)) {
        entry->forwarded = m_retry(std::move(entry->request), std::move(entry->respond), isFinal);
    }
}

void PendingRequests::retryAll()
{
    for (const std::shared_ptr<Entry> &entry : std::exchange(m_entries, {})) {
        retry(entry, false);
    }
}

void PendingRequests::retryExpired()
{
    const Instant now = ProcessClock::now();
    std::vector<std::shared_ptr<Entry>> expired;
    std::erase_if(m_entries, [now, &expired](const std::shared_ptr<Entry> &entry) {
        if (entry->until > now) {
            return false;
        }
        expired.push_back(entry);
        return true;
    });
    for (const std::shared_ptr<Entry> &entry : expired) {
        retry(entry, true);
    }
    startTimer();
}

void PendingRequests::startTimer()
{
    if (m_entries.empty()) {
        m_timer.cancel();
        return;
    }
    const auto next = std::min_element(m_entries.begin(), m_entries.end(), [](const auto &left, const auto &right) {
        return left->until < right->until;
    });
    m_timer.start((*next)->until - ProcessClock::now(), [this] {
        retryExpired();
    });
}

} // namespace Filbertmount
