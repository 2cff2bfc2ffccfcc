#include <filbertmount/accounts/quotatypes.h>

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

namespace {

/** Finalizer of SplitMix64: mixes the hashes of an account and an instance into the weight of the pair. */
std::uint64_t mixed(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

double quotaMargin(const QuotaLimit &limit, const QuotaOptions &options)
{
    const double allowed = options.overshoot * (limit.ratePerSecond * secondsOf(options.window) + limit.burst) + options.slack;
    // Tokens that are granted or returned just before a window can be spent within it.
    const double outstanding = limit.ratePerSecond * secondsOf(std::max(options.leaseTime, options.returnTime));
    return std::max(0.0, allowed - outstanding);
}

QuotaOwnerList::QuotaOwnerList(std::uint64_t epoch, std::vector<InstanceId> owners)
    : m_epoch(epoch)
    , m_ids(std::move(owners))
{
    for (const InstanceId &id : m_ids) {
        m_hashes.push_back(stableHash(id.value()));
    }
}

std::uint64_t QuotaOwnerList::epoch() const
{
    return m_epoch;
}

const std::vector<InstanceId> &QuotaOwnerList::ids() const
{
    return m_ids;
}

const InstanceId *QuotaOwnerList::ownerOf(std::uint64_t accountHash) const
{
    const InstanceId *owner = nullptr;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < m_ids.size(); ++index) {
        const std::uint64_t weight = mixed(accountHash ^ m_hashes[index]);
        if (owner == nullptr || weight > highest) {
            owner = &m_ids[index];
            highest = weight;
        }
    }
    return owner;
}

} // namespace Filbertmount
