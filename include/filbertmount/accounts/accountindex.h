#pragma once

#include <filbertmount/accounts/clientaccount.h>

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace Filbertmount {

/**
 * Finds the account of an API key. Immutable; takes 16 bytes per key beyond the accounts.
 *
 * The position in the index is looked up by the first bytes of the key's digest, which reveal nothing about the key. The digests
 * are then compared in constant time, and an unknown key takes the same comparison as a known one.
 */
class AccountIndex
{
public:
    AccountIndex() = default;
    explicit AccountIndex(std::span<const ClientAccount> accounts);

    /** Returns the account that has a key with @p digest, or null. @p accounts are those that the index was built from. */
    [[nodiscard]] const ClientAccount *find(std::span<const ClientAccount> accounts, const Sha256Digest &digest) const;

private:
    /** A key: the first bytes of its digest, and its position in the accounts. */
    struct Entry {
        std::uint64_t prefix = 0;
        std::uint32_t account = 0;
        std::uint32_t key = 0;
    };

    /** Sorted by prefix. */
    std::vector<Entry> m_entries;
};

/** Returns the first bytes of @p digest as a number, to identify a key in a table. */
std::uint64_t digestPrefix(const Sha256Digest &digest);

/** Returns a hash over all fields of @p accounts that is the same in every process and independent of their order. */
std::uint64_t accountsHash(std::span<const ClientAccount> accounts);

} // namespace Filbertmount
