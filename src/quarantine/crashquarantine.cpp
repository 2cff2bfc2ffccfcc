#include <filbertmount/quarantine/crashquarantine.h>

#include <filbertmount/types/rendezvoushash.h>
#include <filbertmount/types/sha256.h>

#include <algorithm>
#include <chrono>

namespace Filbertmount {

namespace {

constexpr std::size_t MaxStrikesPerSuspect = 16;
// A peer names the service of a clearing, so it could name any number of them.
constexpr std::size_t MaxClearingsPerSuspect = 256;

void appendPart(std::string *text, const std::string &part)
{
    // The length prefix keeps requests distinct whose parts differ but concatenate to the same text.
    text->append(std::to_string(part.size())).append(":").append(part);
}

} // namespace

CrashFingerprint
crashFingerprint(const std::string &scope, const std::string &method, const std::string &target, const std::string &bodyHash)
{
    std::string text;
    for (const std::string *part : {&scope, &method, &target, &bodyHash}) {
        appendPart(&text, *part);
    }
    const Sha256Digest digest = sha256(text);
    CrashFingerprint fingerprint{};
    std::copy_n(digest.begin(), fingerprint.size(), fingerprint.begin());
    return fingerprint;
}

CrashQuarantine::CrashQuarantine(InstanceId self, const CrashQuarantineOptions &options)
    : m_self(std::move(self))
    , m_options(options)
{
}

CrashDecision
CrashQuarantine::admit(RequestId request, const ServiceName &service, const CrashFingerprint &fingerprint, Instant now)
{
    CrashDecision decision{.request = request, .ticket = {.service = service, .fingerprint = fingerprint}};
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end() || found->second.strikes.empty() || found->second.lastStrike + m_options.retention <= now) {
        return decision;
    }
    Suspect &suspect = found->second;
    if (isQuarantined(fingerprint, suspect, service, now)) {
        decision.admission = CrashAdmission::Quarantined;
        return decision;
    }
    if (!isSuspected(fingerprint, suspect, service, now)) {
        return decision;
    }
    if (suspect.run == 0) {
        suspect.run = ++m_lastRun;
        decision.ticket.run = suspect.run;
        return decision;
    }
    if (suspect.waiting.size() >= m_options.maxWaiting) {
        decision.admission = CrashAdmission::Busy;
        return decision;
    }
    suspect.waiting.emplace_back(request, service);
    decision.admission = CrashAdmission::Wait;
    return decision;
}

void CrashQuarantine::withdraw(RequestId request, const CrashFingerprint &fingerprint)
{
    const auto found = m_suspects.find(fingerprint);
    if (found != m_suspects.end()) {
        std::erase_if(found->second.waiting, [request](const auto &waiting) {
            return waiting.first == request;
        });
    }
}

void CrashQuarantine::succeeded(const CrashTicket &ticket, Instant now)
{
    recordSuccess({ticket.fingerprint, ticket.service}, now);
    const auto found = m_suspects.find(ticket.fingerprint);
    if (found == m_suspects.end()) {
        return;
    }
    clearStrikes(ticket.fingerprint, found->second, ticket.service, now);
    queueMessage(ticket.fingerprint, {.service = ticket.service}, true);
    if (!found->second.strikes.empty()) {
        endRun(ticket, now);
        return;
    }
    admitAllWaiting(ticket.fingerprint, found->second);
    m_suspects.erase(found);
}

void CrashQuarantine::crashed(const CrashTicket &ticket, const UpstreamId &upstream, Instant now)
{
    const CrashEvidence localStrike{.service = ticket.service,
                                    .upstream = upstream,
                                    .origin = m_self,
                                    .reporter = m_self,
                                    .sequence = m_lastSequence + 1,
                                    .underSuspicion = ticket.run != 0,
                                    .at = now};
    addStrike(ticket.fingerprint, localStrike);
    queueMessage(ticket.fingerprint, localStrike, false);
    endRun(ticket, now);
}

void CrashQuarantine::ended(const CrashTicket &ticket, Instant now)
{
    endRun(ticket, now);
}

void CrashQuarantine::addStrike(const CrashFingerprint &fingerprint, const CrashEvidence &strike)
{
    if (m_suspects.count(fingerprint) == 0) {
        evictOldestSuspectIfFull();
        const auto suspectsOfReporter = std::count_if(m_suspects.begin(), m_suspects.end(), [&](const auto &entry) {
            const auto &strikes = entry.second.strikes;
            return !strikes.empty() && strikes.front().reporter == strike.reporter;
        });
        if (strike.reporter != m_self && static_cast<std::size_t>(suspectsOfReporter) >= m_options.maxSuspectsPerPeer) {
            return;
        }
    }
    Suspect &suspect = m_suspects[fingerprint];
    suspect.lastStrike = std::max(suspect.lastStrike, strike.at);
    std::erase_if(suspect.strikes, [&](const CrashEvidence &earlier) {
        return earlier.at + m_options.retention <= strike.at;
    });
    if (suspect.strikes.size() < MaxStrikesPerSuspect) {
        suspect.strikes.push_back(strike);
    }
    updateQuarantine(fingerprint, suspect, strike);
}

void CrashQuarantine::updateQuarantine(const CrashFingerprint &fingerprint, Suspect &suspect, const CrashEvidence &strike)
{
    const Instant until = strike.at + m_options.retention;
    if (isConfirmed(fingerprint, suspect, strike.service, strike.at)) {
        Instant &known = suspect.quarantinedUntil[strike.service];
        known = std::max(known, until);
    }
    if (confirmsCrashesOfAll(suspect.strikes)) {
        suspect.quarantinedAtAllUntil = std::max(suspect.quarantinedAtAllUntil, until);
    }
    decideWaiting(fingerprint, suspect, strike.at);
}

bool CrashQuarantine::isConfirmed(const CrashFingerprint &fingerprint,
                                  const Suspect &suspect,
                                  const ServiceName &service,
                                  Instant now) const
{
    if (!confirmsCrashesOf(service, suspect.strikes)) {
        return false;
    }
    if (!succeededRecently({fingerprint, service}, now)) {
        return true;
    }
    const auto isConfirmedWithout = [&](const InstanceId &peer) {
        return peer == m_self || confirmsCrashesOf(service, withoutPeer(suspect.strikes, peer));
    };
    return std::all_of(suspect.strikes.begin(), suspect.strikes.end(), [&](const CrashEvidence &strike) {
        return isConfirmedWithout(strike.origin) && isConfirmedWithout(strike.reporter);
    });
}

bool CrashQuarantine::isQuarantined(const CrashFingerprint &fingerprint,
                                    const Suspect &suspect,
                                    const ServiceName &service,
                                    Instant now) const
{
    const auto own = suspect.quarantinedUntil.find(service);
    const bool isQuarantinedHere = own != suspect.quarantinedUntil.end() && own->second > now;
    return isQuarantinedHere || (suspect.quarantinedAtAllUntil > now && !succeededRecently({fingerprint, service}, now));
}

bool CrashQuarantine::isSuspected(const CrashFingerprint &fingerprint,
                                  const Suspect &suspect,
                                  const ServiceName &service,
                                  Instant now) const
{
    const bool hasStrikes = std::any_of(suspect.strikes.begin(), suspect.strikes.end(), [&](const CrashEvidence &strike) {
        return strike.service == service;
    });
    return hasStrikes || (!suspect.strikes.empty() && !succeededRecently({fingerprint, service}, now));
}

void CrashQuarantine::endRun(const CrashTicket &ticket, Instant now)
{
    const auto found = m_suspects.find(ticket.fingerprint);
    if (found == m_suspects.end() || ticket.run == 0 || found->second.run != ticket.run) {
        return;
    }
    found->second.run = 0;
    decideWaiting(ticket.fingerprint, found->second, now);
    admitNextWaiting(ticket.fingerprint, found->second);
}

void CrashQuarantine::admitNextWaiting(const CrashFingerprint &fingerprint, Suspect &suspect)
{
    if (suspect.waiting.empty()) {
        return;
    }
    suspect.run = ++m_lastRun;
    const auto &[request, service] = suspect.waiting.front();
    const CrashTicket ticket{.service = service, .fingerprint = fingerprint, .run = suspect.run};
    m_decisions.push_back({.request = request, .admission = CrashAdmission::Run, .ticket = ticket});
    suspect.waiting.pop_front();
}

void CrashQuarantine::clearStrikes(const CrashFingerprint &fingerprint, Suspect &suspect, const ServiceName &service, Instant now)
{
    std::erase_if(suspect.strikes, [&service](const CrashEvidence &strike) {
        return strike.service == service;
    });
    suspect.quarantinedUntil.erase(service);
    if (!confirmsCrashesOfAll(suspect.strikes)) {
        suspect.quarantinedAtAllUntil = {};
    }
    decideWaiting(fingerprint, suspect, now);
}

void CrashQuarantine::clearByPeer(const CrashFingerprint &fingerprint,
                                  const ServiceName &service,
                                  const InstanceId &from,
                                  Instant now)
{
    const auto found = m_suspects.find(fingerprint);
    if (found == m_suspects.end()) {
        return;
    }
    Suspect &suspect = found->second;
    const std::pair clearing(service, from);
    const bool isRepeated = std::find(suspect.clearedBy.begin(), suspect.clearedBy.end(), clearing) != suspect.clearedBy.end();
    if (isRepeated || suspect.clearedBy.size() >= MaxClearingsPerSuspect) {
        return;
    }
    // The entry is kept until it expires, because it holds clearedBy.
    suspect.clearedBy.push_back(clearing);
    suspect.clearedAt[service] = now;
    clearStrikes(fingerprint, suspect, service, now);
    if (suspect.strikes.empty()) {
        suspect.run = 0;
        admitAllWaiting(fingerprint, suspect);
    }
}

void CrashQuarantine::decideWaiting(const CrashFingerprint &fingerprint, Suspect &suspect, Instant now)
{
    std::erase_if(suspect.waiting, [&](const auto &waiting) {
        const auto &[request, service] = waiting;
        const bool isRefused = isQuarantined(fingerprint, suspect, service, now);
        if (!isRefused && isSuspected(fingerprint, suspect, service, now)) {
            return false;
        }
        m_decisions.push_back({.request = request,
                               .admission = isRefused ? CrashAdmission::Quarantined : CrashAdmission::Run,
                               .ticket = {.service = service, .fingerprint = fingerprint}});
        return true;
    });
}

void CrashQuarantine::admitAllWaiting(const CrashFingerprint &fingerprint, Suspect &suspect)
{
    for (const auto &[request, service] : suspect.waiting) {
        const CrashTicket ticket{.service = service, .fingerprint = fingerprint};
        m_decisions.push_back({.request = request, .admission = CrashAdmission::Run, .ticket = ticket});
    }
    suspect.waiting.clear();
}

void CrashQuarantine::evictOldestSuspectIfFull()
{
    if (m_suspects.size() < m_options.maxSuspects) {
        return;
    }
    const auto oldest = std::min_element(m_suspects.begin(), m_suspects.end(), [](const auto &left, const auto &right) {
        return left.second.lastStrike < right.second.lastStrike;
    });
    admitAllWaiting(oldest->first, oldest->second);
    m_suspects.erase(oldest);
}

void CrashQuarantine::tick(Instant now)
{
    for (auto entry = m_suspects.begin(); entry != m_suspects.end();) {
        if (entry->second.lastStrike + m_options.retention > now) {
            ++entry;
            continue;
        }
        admitAllWaiting(entry->first, entry->second);
        entry = m_suspects.erase(entry);
    }
    while (!m_successes.empty() && m_successes.front().second + m_options.retention <= now) {
        m_successIndex.erase(m_successes.front().first);
        m_successes.pop_front();
    }
}

void CrashQuarantine::recordSuccess(const SuccessKey &key, Instant now)
{
    const auto found = m_successIndex.find(key);
    if (found != m_successIndex.end()) {
        m_successes.erase(found->second);
    } else if (m_successes.size() >= m_options.maxSuccesses) {
        m_successIndex.erase(m_successes.front().first);
        m_successes.pop_front();
    }
    m_successIndex[key] = m_successes.insert(m_successes.end(), {key, now});
}

bool CrashQuarantine::succeededRecently(const SuccessKey &key, Instant now) const
{
    const auto found = m_successIndex.find(key);
    return found != m_successIndex.end() && found->second->second + m_options.retention > now;
}

std::vector<CrashDecision> CrashQuarantine::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::size_t CrashQuarantine::quarantined(Instant now) const
{
    return static_cast<std::size_t>(std::count_if(m_suspects.begin(), m_suspects.end(), [now](const auto &entry) {
        const Suspect &suspect = entry.second;
        return suspect.quarantinedAtAllUntil > now
            || std::any_of(suspect.quarantinedUntil.begin(), suspect.quarantinedUntil.end(), [now](const auto &service) {
                   return service.second > now;
               });
    }));
}

} // namespace Filbertmount
