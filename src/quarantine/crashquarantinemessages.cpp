// The part of CrashQuarantine that exchanges strikes with other instances.
#include <filbertmount/quarantine/crashquarantine.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>
#include <chrono>

namespace Filbertmount {

namespace {

// Number of bits in ReceivedSequences::receivedBits.
constexpr std::uint64_t SequenceWindow = 64;
// Instances whose sequence numbers are kept. A further one clears all of them, which also drops instances that left.
constexpr std::size_t MaxSequenceOrigins = 10'000;
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

} // namespace

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

std::vector<Wire::CrashStrike> CrashQuarantine::takeMessages()
{
    return std::exchange(m_messages, {});
}

} // namespace Filbertmount
