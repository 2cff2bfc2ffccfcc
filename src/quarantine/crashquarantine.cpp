#include <filbertmount/quarantine/crashquarantine.h>

#include <filbertmount/types/rendezvoushash.h>
#include <filbertmount/types/sha256.h>

#include <algorithm>
#include <chrono>

namespace Filbertmount {

namespace {

// Number of bits in ReceivedSequences::receivedBits.
constexpr std::uint64_t SequenceWindow = 64;
// Instances whose sequence numbers are kept. A further one clears all of them, which also drops instances that left.
constexpr std::size_t MaxSequenceOrigins = 10'000;
constexpr std::size_t MaxStrikesPerSuspect = 16;
// Bounds the bytes that a history takes on the link of a small machine, about 50 KB.
constexpr std::size_t MaxHistoryStrikes = 512;

Duration ageOf(const Wire::CrashStrike &message)
{
    constexpr std::chrono::microseconds maxAge = std::chrono::hours(24);
    const auto age = std::min<std::uint64_t>(message.age_us(), static_cast<std::uint64_t>(maxAge.count()));
    return std::chrono::microseconds(age);
}

std::optional<CrashFingerprint> fingerprintOf(const Wire::CrashStrike &message)
{
    CrashFingerprint fingerprint{};
    if (message.fingerprint().size() != fingerprint.size() || message.service().empty()) {
        return std::nullopt;
    }
    std::copy(message.fingerprint().begin(), message.fingerprint().end(), fingerprint.begin());
    return fingerprint;
}

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

void CrashQuarantine::receive(const InstanceId &from, const Wire::CrashStrike &message, Instant now)
{
    const std::optional<CrashFingerprint> fingerprint = fingerprintOf(message);
    // A message must come from its origin: otherwise one faulty peer could send strikes of several.
    if (message.origin() != from.value() || from == m_self || !fingerprint || !recordSequence(from, message.sequence())) {
        return;
    }
    if (message.cleared()) {
        clearByPeer(*fingerprint, ServiceName(message.service()), from, now);
        return;
    }
    if (isKnown(*fingerprint, from, message.sequence())) {
        return;
    }
    addStrike(*fingerprint, fromWire(message, from, now));
}

template<class Visitor>
void CrashQuarantine::visitStrikes(Instant now, Visitor visit) const
{
    for (const auto &[fingerprint, suspect] : m_suspects) {
        for (const CrashEvidence &strike : suspect.strikes) {
            if (strike.at + m_options.retention > now) {
                visit(fingerprint, suspect, strike);
            }
        }
    }
}

std::vector<Wire::CrashStrike> CrashQuarantine::history(Instant now) const
{
    struct Entry {
        Instant lastStrike;
        Wire::CrashStrike message;
    };
    std::vector<Entry> entries;
    visitStrikes(now, [&](const CrashFingerprint &fingerprint, const Suspect &suspect, const CrashEvidence &strike) {
        Wire::CrashStrike message = toWire(fingerprint, strike);
        const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - strike.at);
        message.set_age_us(static_cast<std::uint64_t>(age.count()));
        entries.push_back({.lastStrike = suspect.lastStrike, .message = std::move(message)});
    });
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return left.lastStrike > right.lastStrike;
    });
    std::vector<Wire::CrashStrike> messages;
    for (Entry &entry : entries) {
        if (messages.size() < MaxHistoryStrikes) {
            messages.push_back(std::move(entry.message));
        }
    }
    return messages;
}

std::uint64_t CrashQuarantine::historyHash(Instant now) const
{
    std::uint64_t hash = 0;
    visitStrikes(now, [&hash](const CrashFingerprint &fingerprint, const Suspect & /*suspect*/, const CrashEvidence &strike) {
        std::string text(fingerprint.begin(), fingerprint.end());
        text.append(strike.origin.value()).append("/").append(std::to_string(strike.sequence));
        hash += stableHash(text);
    });
    return hash;
}

std::size_t CrashQuarantine::receiveHistory(const InstanceId &from, const Wire::CrashHistory &message, Instant now)
{
    if (from == m_self) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(message.entries().begin(), message.entries().end(), [&](const Wire::CrashStrike &entry) {
            return receiveEntry(from, entry, now);
        }));
}

bool CrashQuarantine::receiveEntry(const InstanceId &from, const Wire::CrashStrike &message, Instant now)
{
    const std::optional<CrashFingerprint> fingerprint = fingerprintOf(message);
    const InstanceId origin(message.origin());
    const Instant at = now - ageOf(message);
    const bool isExpired = at + m_options.retention <= now;
    if (!fingerprint || origin.empty() || origin == m_self || message.cleared() || isExpired) {
        return false;
    }
    if (wasClearedSince(*fingerprint, ServiceName(message.service()), at) || isKnown(*fingerprint, origin, message.sequence())) {
        return false;
    }
    addStrike(*fingerprint, fromWire(message, from, at));
    return isKnown(*fingerprint, origin, message.sequence());
}

bool CrashQuarantine::wasClearedSince(const CrashFingerprint &fingerprint, const ServiceName &service, Instant time) const
{
    const auto success = m_successIndex.find({fingerprint, service});
    if (success != m_successIndex.end() && success->second->second >= time) {
        return true;
    }
    const auto suspect = m_suspects.find(fingerprint);
    if (suspect == m_suspects.end()) {
        return false;
    }
    const auto cleared = suspect->second.clearedAt.find(service);
    return cleared != suspect->second.clearedAt.end() && cleared->second >= time;
}

bool CrashQuarantine::isKnown(const CrashFingerprint &fingerprint, const InstanceId &origin, std::uint64_t sequence) const
{
    const auto suspect = m_suspects.find(fingerprint);
    return suspect != m_suspects.end()
        && std::any_of(suspect->second.strikes.begin(), suspect->second.strikes.end(), [&](const CrashEvidence &strike) {
               return strike.origin == origin && strike.sequence == sequence;
           });
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
    if (std::find(suspect.clearedBy.begin(), suspect.clearedBy.end(), clearing) != suspect.clearedBy.end()) {
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

bool CrashQuarantine::recordSequence(const InstanceId &origin, std::uint64_t sequence)
{
    if (m_sequences.size() >= MaxSequenceOrigins && m_sequences.count(origin) == 0) {
        m_sequences.clear();
    }
    ReceivedSequences &received = m_sequences[origin];
    if (sequence > received.highest) {
        const std::uint64_t ahead = sequence - received.highest;
        received.receivedBits = ahead >= SequenceWindow ? 0 : received.receivedBits << ahead;
        received.receivedBits |= 1U;
        received.highest = sequence;
        return true;
    }
    const std::uint64_t behind = received.highest - sequence;
    const std::uint64_t bit = behind < SequenceWindow ? std::uint64_t{1} << behind : 0;
    if (bit == 0 || (received.receivedBits & bit) != 0) {
        return false;
    }
    received.receivedBits |= bit;
    return true;
}

void CrashQuarantine::queueMessage(const CrashFingerprint &fingerprint, const CrashEvidence &strike, bool cleared)
{
    Wire::CrashStrike message = toWire(fingerprint, strike);
    message.set_origin(m_self.value());
    message.set_sequence(++m_lastSequence);
    message.set_cleared(cleared);
    m_messages.push_back(std::move(message));
}

Wire::CrashStrike CrashQuarantine::toWire(const CrashFingerprint &fingerprint, const CrashEvidence &strike)
{
    Wire::CrashStrike message;
    message.set_service(strike.service.value());
    message.set_fingerprint(fingerprint.data(), fingerprint.size());
    message.set_upstream(strike.upstream.value());
    message.set_origin(strike.origin.value());
    message.set_sequence(strike.sequence);
    message.set_under_suspicion(strike.underSuspicion);
    return message;
}

CrashEvidence CrashQuarantine::fromWire(const Wire::CrashStrike &message, const InstanceId &reporter, Instant at)
{
    return {.service = ServiceName(message.service()),
            .upstream = UpstreamId(message.upstream()),
            .origin = InstanceId(message.origin()),
            .reporter = reporter,
            .sequence = message.sequence(),
            .underSuspicion = message.under_suspicion(),
            .at = at};
}

std::vector<CrashDecision> CrashQuarantine::takeDecisions()
{
    return std::exchange(m_decisions, {});
}

std::vector<Wire::CrashStrike> CrashQuarantine::takeMessages()
{
    return std::exchange(m_messages, {});
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
