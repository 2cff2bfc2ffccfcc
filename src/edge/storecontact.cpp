#include <filbertmount/edge/storecontact.h>

#include <algorithm>

namespace Filbertmount {

StoreContact::StoreContact(const StoreContactOptions &options)
    : m_options(options)
{
}

void StoreContact::recordResponse(Instant now)
{
    if (m_isOutage) {
        endOutage(now);
    }
    m_noResponseSince.reset();
    merge({.since = now, .until = now});
}

void StoreContact::recordFailure(Instant now)
{
    m_noResponseSince = m_noResponseSince.value_or(now);
    if (m_isOutage || now - *m_noResponseSince < m_options.outageAfter) {
        return;
    }
    m_isOutage = true;
    m_outageEndedAt.reset();
    m_lastOutageStart = m_span ? m_span->until : *m_noResponseSince;
}

void StoreContact::recordSpan(const ContactSpan &span)
{
    if (m_noResponseSince && span.until > *m_noResponseSince) {
        m_noResponseSince.reset();
        if (m_isOutage) {
            endOutage(span.until);
        }
    }
    if (m_outageEndedAt && isCovered(span, span.since, *m_outageEndedAt)) {
        m_outageEndedAt = std::min(*m_outageEndedAt, span.since);
    }
    if (m_outageEndedAt && *m_outageEndedAt <= m_lastOutageStart) {
        m_outageEndedAt.reset();
    }
    merge(span);
}

void StoreContact::forgetSpan()
{
    m_span.reset();
}

void StoreContact::endOutage(Instant now)
{
    m_isOutage = false;
    m_outageEndedAt = now;
    m_span.reset();
}

void StoreContact::merge(const ContactSpan &span)
{
    if (!m_span || span.since > m_span->until + m_options.maxGap) {
        m_span = span;
        return;
    }
    if (span.until + m_options.maxGap < m_span->since) {
        return;
    }
    m_span->since = std::min(m_span->since, span.since);
    m_span->until = std::max(m_span->until, span.until);
}

const std::optional<ContactSpan> &StoreContact::span() const
{
    return m_span;
}

bool StoreContact::isOutage() const
{
    return m_isOutage;
}

std::optional<Instant> StoreContact::outageEndedAt() const
{
    return m_outageEndedAt;
}

Instant StoreContact::lastOutageStart() const
{
    return m_lastOutageStart;
}

bool StoreContact::covers(Instant since, Instant until) const
{
    return m_span && isCovered(*m_span, since, until);
}

bool StoreContact::isCovered(const ContactSpan &span, Instant since, Instant until) const
{
    return span.since <= since && span.until + m_options.outageAfter >= until;
}

} // namespace Filbertmount
