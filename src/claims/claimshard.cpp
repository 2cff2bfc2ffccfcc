#include <filbertmount/claims/claimshard.h>

#include "claimshardformat.h"

#include <algorithm>
#include <map>
#include <vector>

namespace Filbertmount {

namespace {

namespace Format = ::filbertmount::claims;

constexpr std::uint32_t FormatVersion = 1;
// Serialized size of an open claim.
constexpr std::size_t OpenBytes = sizeof(ClaimKey) + sizeof(ClaimNonce);
// Serialized size of a claim that is done; its status takes two bytes as a varint.
constexpr std::size_t DoneBytes = sizeof(ClaimKey) + 2;
// Upper bound of the tags, time stamp, retention and lengths of one batch.
constexpr std::size_t BatchBytes = 40;
constexpr std::size_t HeaderBytes = 8;
// Time stamps are rounded up to a whole minute, so that a day has at most 1,440 batches. Claims live up to a minute longer.
constexpr std::uint32_t StampStepSeconds = 60;

auto malformed(const std::string &reason)
{
    return boost::leaf::new_error(Failure{.step = Step::Claim, .peer = "store", .reason = reason});
}

template<class Bytes>
Bytes bytesAt(const std::string &text, std::size_t offset)
{
    Bytes bytes{};
    std::copy_n(text.begin() + static_cast<std::ptrdiff_t>(offset), bytes.size(), bytes.begin());
    return bytes;
}

template<class Bytes>
void append(std::string *text, const Bytes &bytes)
{
    text->append(reinterpret_cast<const char *>(bytes.data()), bytes.size());
}

bool isWellFormed(const Format::ClaimBatch &batch)
{
    const auto validStatus = [](std::uint32_t status) {
        return status > 0 && status < 1000;
    };
    return batch.claimed().size() % OpenBytes == 0 && batch.done().size() % sizeof(ClaimKey) == 0
        && batch.done().size() / sizeof(ClaimKey) == static_cast<std::size_t>(batch.statuses_size())
        && std::all_of(batch.statuses().begin(), batch.statuses().end(), validStatus);
}

} // namespace

Result<ClaimShard> ClaimShard::parse(const std::string &value)
{
    ClaimShard shard;
    if (value.empty()) {
        return shard;
    }
    Format::ShardRecord record;
    if (!record.ParseFromString(value)) {
        return malformed("claim shard is not a valid record");
    }
    if (record.version() != FormatVersion) {
        return malformed("claim shard has the unknown version " + std::to_string(record.version()));
    }
    for (const Format::ClaimBatch &batch : record.batches()) {
        if (!isWellFormed(batch)) {
            return malformed("claim shard has a batch of the wrong length");
        }
        ClaimRecord claim{.retentionSeconds = batch.retention_s(), .stampedAt = batch.stamped_at()};
        for (std::size_t offset = 0; offset < batch.claimed().size(); offset += OpenBytes) {
            claim.nonce = bytesAt<ClaimNonce>(batch.claimed(), offset + sizeof(ClaimKey));
            shard.insert(bytesAt<ClaimKey>(batch.claimed(), offset), claim);
        }
        claim.nonce = {};
        for (int index = 0; index < batch.statuses_size(); ++index) {
            claim.status = static_cast<std::uint16_t>(batch.statuses(index));
            shard.insert(bytesAt<ClaimKey>(batch.done(), static_cast<std::size_t>(index) * sizeof(ClaimKey)), claim);
        }
    }
    return shard;
}

std::string ClaimShard::serialize() const
{
    std::map<Batch, Format::ClaimBatch> batches;
    for (const auto &[key, claim] : m_claims) {
        Format::ClaimBatch &batch = batches[{claim.stampedAt, claim.retentionSeconds}];
        if (claim.isDone()) {
            append(batch.mutable_done(), key);
            batch.add_statuses(claim.status);
            continue;
        }
        append(batch.mutable_claimed(), key);
        append(batch.mutable_claimed(), claim.nonce);
    }
    Format::ShardRecord record;
    record.set_version(FormatVersion);
    for (auto &[time, batch] : batches) {
        batch.set_stamped_at(time.first);
        batch.set_retention_s(time.second);
        *record.add_batches() = std::move(batch);
    }
    return record.SerializeAsString();
}

const ClaimRecord *ClaimShard::find(const ClaimKey &key) const
{
    const auto found = m_claims.find(key);
    return found == m_claims.end() ? nullptr : &found->second;
}

bool ClaimShard::add(const ClaimKey &key, const ClaimNonce &nonce, std::uint32_t retentionSeconds)
{
    if (sizeBound() + OpenBytes + BatchBytes > MaxValueBytes) {
        return false;
    }
    insert(key, {.nonce = nonce, .retentionSeconds = std::max(retentionSeconds, MinRetentionSeconds)});
    return true;
}

bool ClaimShard::complete(const ClaimKey &key, const ClaimNonce &nonce, int status)
{
    const auto found = m_claims.find(key);
    if (found == m_claims.end() || found->second.isDone() || found->second.nonce != nonce) {
        return false;
    }
    found->second.status = static_cast<std::uint16_t>(std::clamp(status, 100, 999));
    found->second.nonce = {};
    ++m_done;
    return true;
}

bool ClaimShard::remove(const ClaimKey &key, const ClaimNonce &nonce)
{
    const ClaimRecord *claim = find(key);
    if (claim == nullptr || claim->isDone() || claim->nonce != nonce) {
        return false;
    }
    erase(key);
    return true;
}

void ClaimShard::stamp(StoreTime seen)
{
    const bool unstamped = std::any_of(m_batches.begin(), m_batches.end(), [](const auto &batch) {
        return batch.first.first == 0;
    });
    if (seen.seconds <= 0 || !unstamped) {
        return;
    }
    const auto seconds = static_cast<std::uint32_t>(seen.seconds);
    const std::uint32_t rounded = (seconds + StampStepSeconds - 1) / StampStepSeconds * StampStepSeconds;
    m_batches.clear();
    for (auto &[key, claim] : m_claims) {
        claim.stampedAt = claim.stampedAt == 0 ? rounded : claim.stampedAt;
        ++m_batches[{claim.stampedAt, claim.retentionSeconds}];
    }
}

std::size_t ClaimShard::prune(StoreTime now)
{
    const auto expired = [now](const Batch &batch) {
        return batch.first != 0 && std::int64_t{batch.first} + batch.second < now.seconds;
    };
    const bool any = std::any_of(m_batches.begin(), m_batches.end(), [&](const auto &batch) {
        return expired(batch.first);
    });
    if (!any) {
        return 0;
    }
    std::vector<ClaimKey> keys;
    for (const auto &[key, claim] : m_claims) {
        if (expired({claim.stampedAt, claim.retentionSeconds})) {
            keys.push_back(key);
        }
    }
    std::for_each(keys.begin(), keys.end(), [this](const ClaimKey &key) {
        erase(key);
    });
    return keys.size();
}

std::size_t ClaimShard::sizeBound() const
{
    return HeaderBytes + (m_batches.size() * BatchBytes) + ((m_claims.size() - m_done) * OpenBytes) + (m_done * DoneBytes);
}

void ClaimShard::insert(const ClaimKey &key, const ClaimRecord &record)
{
    if (!m_claims.emplace(key, record).second) {
        return;
    }
    ++m_batches[{record.stampedAt, record.retentionSeconds}];
    m_done += record.isDone() ? 1 : 0;
}

void ClaimShard::erase(const ClaimKey &key)
{
    const auto found = m_claims.find(key);
    const auto batch = m_batches.find({found->second.stampedAt, found->second.retentionSeconds});
    if (--batch->second == 0) {
        m_batches.erase(batch);
    }
    m_done -= found->second.isDone() ? 1 : 0;
    m_claims.erase(found);
}

} // namespace Filbertmount
