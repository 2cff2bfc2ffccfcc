#include <filbertmount/accounts/accountindex.h>

#include <filbertmount/types/rendezvoushash.h>

#include <openssl/crypto.h>

#include <algorithm>
#include <cstring>
#include <string>

namespace Filbertmount {

namespace {

void appendField(std::string &text, std::string_view field)
{
    // The length keeps fields with different boundaries apart.
    text.append(std::to_string(field.size())).append(":").append(field);
}

std::string_view bytesOf(const Sha256Digest &digest)
{
    return {reinterpret_cast<const char *>(digest.data()), digest.size()};
}

std::uint64_t hashOf(const ClientAccount &account)
{
    std::string text;
    appendField(text, account.name.value());
    appendField(text, std::to_string(account.keyDigests.size()));
    for (const Sha256Digest &digest : account.keyDigests) {
        appendField(text, bytesOf(digest));
    }
    appendField(text, account.rank ? std::to_string(*account.rank) : std::string());
    for (const double limit : {account.rate, account.burst}) {
        appendField(text, {reinterpret_cast<const char *>(&limit), sizeof(limit)});
    }
    for (const Region &region : account.allowedRegions) {
        appendField(text, region.value());
    }
    return stableHash(text);
}

bool equalInConstantTime(const Sha256Digest &left, const Sha256Digest &right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::uint64_t digestPrefix(const Sha256Digest &digest)
{
    std::uint64_t prefix = 0;
    std::memcpy(&prefix, digest.data(), sizeof(prefix));
    return prefix;
}

std::uint64_t accountsHash(std::span<const ClientAccount> accounts)
{
    std::uint64_t sum = 0;
    for (const ClientAccount &account : accounts) {
        sum += hashOf(account);
    }
    return sum;
}

AccountIndex::AccountIndex(std::span<const ClientAccount> accounts)
{
    std::size_t count = 0;
    for (const ClientAccount &account : accounts) {
        count += account.keyDigests.size();
    }
    m_entries.reserve(count);
    for (std::uint32_t account = 0; account < accounts.size(); ++account) {
        const std::vector<Sha256Digest> &digests = accounts[account].keyDigests;
        for (std::uint32_t key = 0; key < digests.size(); ++key) {
            m_entries.push_back({.prefix = digestPrefix(digests[key]), .account = account, .key = key});
        }
    }
    std::sort(m_entries.begin(), m_entries.end(), [](const Entry &left, const Entry &right) {
        return left.prefix < right.prefix;
    });
}

const ClientAccount *AccountIndex::find(std::span<const ClientAccount> accounts, const Sha256Digest &digest) const
{
    const std::uint64_t prefix = digestPrefix(digest);
    auto entry = std::lower_bound(m_entries.begin(), m_entries.end(), prefix, [](const Entry &known, std::uint64_t wanted) {
        return known.prefix < wanted;
    });
    static constexpr Sha256Digest noDigest{};
    const ClientAccount *found = nullptr;
    // Compares once also without an entry of the prefix; several entries share one only by a collision of 64 bits.
    do {
        const bool hasEntry = entry != m_entries.end() && entry->prefix == prefix;
        const Sha256Digest &known = hasEntry ? accounts[entry->account].keyDigests[entry->key] : noDigest;
        if (equalInConstantTime(known, digest) && hasEntry) {
            found = &accounts[entry->account];
        }
        if (!hasEntry) {
            break;
        }
        ++entry;
    } while (entry != m_entries.end() && entry->prefix == prefix);
    return found;
}

} // namespace Filbertmount
