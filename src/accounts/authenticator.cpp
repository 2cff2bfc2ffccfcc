#include <filbertmount/accounts/authenticator.h>

#include <algorithm>
#include <utility>

namespace Filbertmount {

namespace {

Authentication refused(std::string_view reason)
{
    return {.outcome = AuthenticationOutcome::Refused, .reason = reason};
}

} // namespace

std::string_view authenticationOutcomeName(AuthenticationOutcome outcome)
{
    switch (outcome) {
    case AuthenticationOutcome::NotRequired:
        return "not-required";
    case AuthenticationOutcome::Exempt:
        return "exempt";
    case AuthenticationOutcome::Admitted:
        return "admitted";
    case AuthenticationOutcome::Refused:
        return "unknown-key";
    case AuthenticationOutcome::NotYetKnown:
        return "unconfirmed-key";
    }
    return "unknown";
}

Authenticator::Authenticator(AuthenticatorOptions options)
    : m_options(std::move(options))
{
}

bool Authenticator::isCurrent(std::optional<Duration> confirmationAge) const
{
    return confirmationAge && *confirmationAge <= m_options.maxConfirmationAge;
}

AuthenticationOutcome Authenticator::decideWithoutWait(std::uint64_t keyId, std::optional<Duration> confirmationAge) const
{
    const bool wasRefused = m_refusedKeys[keyId % RememberedRefusals] == keyId;
    return wasRefused && isCurrent(confirmationAge) ? AuthenticationOutcome::Refused : AuthenticationOutcome::NotYetKnown;
}

void Authenticator::recordRefusal(std::uint64_t keyId)
{
    m_refusedKeys[keyId % RememberedRefusals] = keyId;
}

void Authenticator::forgetRefusals()
{
    m_refusedKeys.fill(std::nullopt);
}

Duration Authenticator::waitFor(Duration timeLeft) const
{
    return std::clamp(timeLeft / m_options.partOfTimeLeft, Duration::zero(), m_options.maxWait);
}

Authentication Authenticator::unknown(const AuthenticationQuery &query, std::string_view reason, std::uint64_t keyId) const
{
    const bool isDecided = query.hasWaited && isCurrent(query.confirmationAge);
    return {.outcome = isDecided ? AuthenticationOutcome::Refused : AuthenticationOutcome::NotYetKnown,
            .reason = reason,
            .keyId = keyId};
}

Authentication Authenticator::authenticate(const AuthenticationQuery &query) const
{
    if (!query.configuration.routes().requiresKey) {
        return {.outcome = AuthenticationOutcome::NotRequired};
    }
    if (query.route.isKeyExempt) {
        return {.outcome = AuthenticationOutcome::Exempt};
    }
    const std::string *key = nullptr;
    for (const Header &header : query.headers) {
        if (!equalsIgnoringCase(header.name, m_options.keyHeader)) {
            continue;
        }
        if (key != nullptr) {
            return refused("several API keys");
        }
        key = &header.value;
    }
    if (key == nullptr) {
        return unknown(query, "no API key", 0);
    }
    if (key->empty()) {
        return refused("empty API key");
    }
    const Sha256Digest digest = sha256(*key);
    if (const ClientAccount *account = query.configuration.findAccount(digest)) {
        return {.outcome = AuthenticationOutcome::Admitted, .account = account, .keyId = digestPrefix(digest)};
    }
    return unknown(query, "unknown API key", digestPrefix(digest));
}

} // namespace Filbertmount
