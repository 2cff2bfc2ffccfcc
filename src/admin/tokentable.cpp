#include "admin/tokentable.h"

#include <absl/strings/match.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace Filbertmount {

namespace {

const std::string BearerPrefix = "Bearer ";

TokenHash hashOf(const std::string &token)
{
    TokenHash hash{};
    SHA256(reinterpret_cast<const unsigned char *>(token.data()), token.size(), hash.data());
    return hash;
}

} // namespace

TokenTable::TokenTable(std::vector<TeamSettings> teams)
    : m_teams(std::move(teams))
{
}

void TokenTable::setTeams(std::vector<TeamSettings> teams)
{
    const absl::MutexLock lock(&m_mutex);
    m_teams = std::move(teams);
}

std::optional<TeamName> TokenTable::teamOf(const std::string &authorization) const
{
    if (!absl::StartsWithIgnoreCase(authorization, BearerPrefix) || authorization.size() == BearerPrefix.size()) {
        return std::nullopt;
    }
    const TokenHash hash = hashOf(authorization.substr(BearerPrefix.size()));
    std::optional<TeamName> found;
    const absl::MutexLock lock(&m_mutex);
    // All hashes are compared, so that the time does not tell which team a token is close to.
    for (const TeamSettings &team : m_teams) {
        for (const TokenHash &token : team.tokens) {
            if (CRYPTO_memcmp(token.data(), hash.data(), hash.size()) == 0) {
                found = team.name;
            }
        }
    }
    return found;
}

} // namespace Filbertmount
