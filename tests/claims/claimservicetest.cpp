#include <filbertmount/claims/claimservice.h>

#include <absl/synchronization/mutex.h>
#include <doctest/doctest.h>

#include <atomic>
#include <map>

using namespace Filbertmount;

namespace {

/** Conditional updates in memory; loses the answer of every third write. */
class MemoryStore
{
public:
    StoreReply read(const std::string &key)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto found = m_objects.find(key);
        const StoreOutcome outcome = found == m_objects.end() ? StoreOutcome::Absent : StoreOutcome::Done;
        return {
            .outcome = outcome, .object = found == m_objects.end() ? StoreObject{} : found->second, .time = Time, .reason = {}};
    }
    StoreReply update(const std::string &key, const std::string &value, Revision base)
    {
        const absl::MutexLock lock(&m_mutex);
        StoreObject &object = m_objects[key];
        if (object.revision != base) {
            return {.outcome = StoreOutcome::Conflict, .object = {}, .time = Time, .reason = {}};
        }
        object = {.key = key, .value = value, .revision = Revision(++m_revision)};
        if (m_revision % 3 == 0) {
            return {.outcome = StoreOutcome::Unknown, .object = {}, .time = {}, .reason = "answer lost"};
        }
        return {.outcome = StoreOutcome::Done, .object = object, .time = Time, .reason = {}};
    }
    StoreListing list(const std::string & /*prefix*/)
    {
        return {};
    }
    StoreListing watch(const std::string & /*prefix*/, Revision /*after*/, Duration /*wait*/)
    {
        return {};
    }

private:
    static constexpr StoreTime Time{1'799'971'200};
    absl::Mutex m_mutex;
    std::map<std::string, StoreObject> m_objects;
    std::uint64_t m_revision = 0;
};

class Mailbox
{
public:
    struct Mail {
        InstanceId from;
        InstanceId to;
        Wire::Envelope message;
    };

    PeerSender sender(const InstanceId &from)
    {
        return [this, from](const InstanceId &to, Wire::Envelope message) {
            const absl::MutexLock lock(&m_mutex);
            m_mails.push_back({.from = from, .to = to, .message = std::move(message)});
        };
    }
    std::vector<Mail> take()
    {
        const absl::MutexLock lock(&m_mutex);
        return std::exchange(m_mails, {});
    }

private:
    absl::Mutex m_mutex;
    std::vector<Mail> m_mails;
};

} // namespace

// Guards against two threads of two instances owning one key, and against a handler that is lost or runs twice.
TEST_CASE("claim service gives each key to one of many threads over two instances")
{
    constexpr int threadCount = 6;
    constexpr int keyCount = 20;
    MemoryStore store;
    using Service = ClaimService<MemoryStore>;
    const InstanceId first("a");
    const InstanceId second("b");
    Mailbox mailbox;
    Service one(store, first, mailbox.sender(first), {});
    Service two(store, second, mailbox.sender(second), {});
    one.setMembers({first, second});
    two.setMembers({first, second});

    std::array<std::atomic<int>, keyCount> owned{};
    std::atomic<int> answers = 0;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int thread = 0; thread < threadCount; ++thread) {
        threads.emplace_back([&, thread] {
            Service &service = thread % 2 == 0 ? one : two;
            for (std::size_t key = 0; key < keyCount; ++key) {
                const auto handler = [&, key](const ClaimAnswer &answer) {
                    owned.at(key) += answer.decision == ClaimDecision::Owned ? 1 : 0;
                    ++answers;
                };
                service.claim(ServiceName("shop"), "order-" + std::to_string(key), std::chrono::hours(24), handler);
            }
        });
    }
    // The messages are delivered here, so that none reaches a service that is being destroyed.
    while (answers < threadCount * keyCount || !one.drain(Duration(0)) || !two.drain(Duration(0))) {
        for (const Mailbox::Mail &mail : mailbox.take()) {
            Service &to = mail.to == first ? one : two;
            for (const Wire::Body &body : mail.message.bodies()) {
                if (body.has_claim_request()) {
                    to.receive(mail.from, body.claim_request());
                } else {
                    to.receive(mail.from, body.claim_reply());
                }
            }
        }
        std::this_thread::yield();
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    for (const std::atomic<int> &count : owned) {
        CHECK(count <= 1);
    }
    CHECK(answers == threadCount * keyCount);
    CHECK(one.statistics().forwarded + two.statistics().forwarded > 0);
}
