#pragma once

#include <filbertmount/proxy/httpmessage.h>
#include <filbertmount/routes/routeset.h>
#include <filbertmount/types/instant.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Filbertmount {

/** What the API key of a request permits. */
enum class AuthenticationOutcome : std::uint8_t {
    /** The configuration has no accounts. */
    NotRequired,
    /** The route needs no key. */
    Exempt,
    /** The key belongs to an account. */
    Admitted,
    /** No account has the key, so the request is refused. */
    Refused,
    /** No account of the known configuration has the key, but a newer configuration that is not known yet may have it. */
    NotYetKnown,
};

/** Returns the name of @p outcome as it appears in logs and metrics. */
std::string_view authenticationOutcomeName(AuthenticationOutcome outcome);

/** The decision on one request. */
struct Authentication {
    AuthenticationOutcome outcome = AuthenticationOutcome::NotRequired;
    /** Of an admitted request; valid as long as the configuration. */
    const ClientAccount *account = nullptr;
    /** Why the request is not admitted; never contains the key. */
    std::string_view reason;
    /** Identifies the key without revealing it; 0 without a single well-formed key. */
    std::uint64_t keyId = 0;
};

/** What is known when the decision is made. */
struct AuthenticationQuery {
    const RouteIndex &configuration;
    const ForwardRoute &route;
    const Headers &headers;
    /** Time since the store last confirmed that the configuration is the newest; nothing if unknown. */
    std::optional<Duration> confirmationAge;
    /** Whether the request has already waited for a newer configuration. */
    bool hasWaited = false;
};

struct AuthenticatorOptions {
    /** Name of the header with the key. */
    std::string keyHeader;
    /**
     * A key is refused only if the store has confirmed the configuration within this time. The store responds to a reader
     * every 700 ms, which passes this on within some milliseconds.
     */
    Duration maxConfirmationAge = std::chrono::milliseconds(1000);
    /** Longest wait of a request with an unknown key for a newer configuration, which usually arrives within 200 ms. */
    Duration maxWait = std::chrono::milliseconds(300);
    /** The wait takes less than this part of the time that the caller has left. */
    int partOfTimeLeft = 4;
};

/**
 * Decides from the API key of a request whether it is admitted, and as which account. Sans-I/O, not thread-safe.
 *
 * The value of the key header is compared as a whole; a request with several key headers is refused.
 */
class Authenticator
{
public:
    explicit Authenticator(AuthenticatorOptions options);

    [[nodiscard]] Authentication authenticate(const AuthenticationQuery &query) const;
    /** Whether the store has confirmed the configuration recently enough to refuse a request because of it. */
    [[nodiscard]] bool isCurrent(std::optional<Duration> confirmationAge) const;
    /**
     * Decides on a request with an unknown key that cannot wait, because too many others do: it is refused only if the same key
     * has waited in vain since the last change of the configuration.
     */
    [[nodiscard]] AuthenticationOutcome decideWithoutWait(std::uint64_t keyId, std::optional<Duration> confirmationAge) const;
    /** Records that a request with this key was refused after its wait. */
    void recordRefusal(std::uint64_t keyId);
    /** Call when a newer configuration is in force. */
    void forgetRefusals();
    /** Returns how long a request may wait for a newer configuration when its caller has @p timeLeft. */
    [[nodiscard]] Duration waitFor(Duration timeLeft) const;

private:
    [[nodiscard]] Authentication unknown(const AuthenticationQuery &query, std::string_view reason, std::uint64_t keyId) const;

    // Fixed, so that a flood of unknown keys takes no further memory; a newer key replaces one in the same place.
    static constexpr std::size_t RememberedRefusals = 64;

    AuthenticatorOptions m_options;
    /** Identifiers of keys that were refused under the current configuration, by their lowest bits. */
    std::array<std::optional<std::uint64_t>, RememberedRefusals> m_refusedKeys;
};

} // namespace Filbertmount
