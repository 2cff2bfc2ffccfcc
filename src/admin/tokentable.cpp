#include "admin/tokentable.h"

#include <filbertmount/types/sha256.h>

#include <absl/strings/match.h>
#include <openssl/crypto.h>

namespace Filbertmount {

namespace {

const std::string BearerPrefix = "Bearer ";

} // namespace

TokenTable::TokenTable(std::vector<TeamSettings> teams)
    : m_teams(std::move(teams))
{
}

void TokenTable::setTeams(std::vector<TeamSettings> teams)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_teams = std::move(teams);
}

std::optional<TeamName> TokenTable::teamOf(const std::string &authorization) const
{
    if (!absl::StartsWithIgnoreCase(authorization, BearerPrefix) || authorization.size() == BearerPrefix.size()) {
        return std::nullopt;
    }
    const TokenHash hash = sha256(authorization.substr(BearerPrefix.size()));
    std::optional<TeamName> found;
    const std::lock_guard<std::mutex> lock(m_mutex);
    // Every hash is compared, in constant time, so that the response time does not reveal which stored hash comes closest.
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
