#include <filbertmount/claims/claimservice.h>

#include <absl/synchronization/mutex.h>
#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <deque>
#include <map>

using namespace Filbertmount;

namespace {

/** In-memory store with conditional updates and a running clock. The response to every third write is lost. */
class MemoryStore
{
public:
    StoreReply read(const std::string &key)
    {
        const absl::MutexLock lock(&m_mutex);
        const auto found = m_objects.find(key);
        const StoreOutcome outcome = found == m_objects.end() ? StoreOutcome::Absent : StoreOutcome::Done;
        return {
            .outcome = outcome, .object = found == m_objects.end() ? StoreObject{} : found->second, .time = time(), .reason = {}};
    }
    StoreReply update(const std::string &key, const std::string &value, Revision base)
    {
        const absl::MutexLock lock(&m_mutex);
        StoreObject &object = m_objects[key];
        if (object.revision != base) {
            return {.outcome = StoreOutcome::Conflict, .object = {}, .time = time(), .reason = {}};
        }
        object = {.key = key, .value = value, .revision = Revision(++m_revision)};
        if (m_revision % 3 == 0) {
            return {.outcome = StoreOutcome::Unknown, .object = {}, .time = {}, .reason = "response lost"};
        }
        return {.outcome = StoreOutcome::Done, .object = object, .time = time(), .reason = {}};
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
    /** The clock advances, because a release of a forwarded claim waits until it has passed the claim's notAfter. */
    [[nodiscard]] StoreTime time() const
    {
        const auto passed = std::chrono::duration_cast<std::chrono::seconds>(ProcessClock::now() - m_started);
        return {1'799'971'200 + passed.count()};
    }

    const Instant m_started = ProcessClock::now();
    absl::Mutex m_mutex;
    std::map<std::string, StoreObject> m_objects;
    std::uint64_t m_revision = 0;
};

/** Delivers messages between instances after a fixed transit time. */
class Mailbox
{
public:
    struct Message {
        InstanceId from;
        InstanceId to;
        Wire::Envelope message;
        Instant arrivesAt;
    };

    explicit Mailbox(Duration transit)
        : m_transit(transit)
    {
    }

    PeerSender sender(const InstanceId &from)
    {
        return [this, from](const InstanceId &to, Wire::Envelope message) {
            const absl::MutexLock lock(&m_mutex);
            m_messages.push_back(
                {.from = from, .to = to, .message = std::move(message), .arrivesAt = ProcessClock::now() + m_transit});
        };
    }

    std::vector<Message> takeArrived()
    {
        const absl::MutexLock lock(&m_mutex);
        const Instant now = ProcessClock::now();
        std::vector<Message> arrived;
        while (!m_messages.empty() && m_messages.front().arrivesAt <= now) {
            arrived.push_back(std::move(m_messages.front()));
            m_messages.pop_front();
        }
        return arrived;
    }

private:
    const Duration m_transit;
    absl::Mutex m_mutex;
    std::deque<Message> m_messages;
};

using Service = ClaimService<MemoryStore>;

/** Two instances with a common store. */
struct TwoInstances {
    explicit TwoInstances(Duration transit)
        : mailbox(transit)
        , firstService(store, firstId, mailbox.sender(firstId), {})
        , secondService(store, secondId, mailbox.sender(secondId), {})
    {
        firstService.setMembers({firstId, secondId});
        secondService.setMembers({firstId, secondId});
    }

    void deliver()
    {
        for (const Mailbox::Message &delivery : mailbox.takeArrived()) {
            Service &to = delivery.to == firstId ? firstService : secondService;
            for (const Wire::Body &body : delivery.message.bodies()) {
                if (body.has_claim_request()) {
                    to.receive(delivery.from, body.claim_request());
                } else {
                    to.receive(delivery.from, body.claim_reply());
                }
            }
        }
    }

    /** Makes one claim on each instance: claims are forwarded only after a first reply with the store's clock. */
    void claimOnceOnEach()
    {
        for (Service *service : {&firstService, &secondService}) {
            std::atomic<bool> isDecided = false;
            const std::string key = service == &firstService ? "first-of-one" : "first-of-two";
            service->claim(ServiceName("shop"), key, std::chrono::hours(24), [&isDecided](const ClaimResult & /*result*/) {
                isDecided = true;
            });
            while (!isDecided) {
                deliver();
                std::this_thread::yield();
            }
        }
    }

    bool isDrained()
    {
        return firstService.drain(Duration(0)) && secondService.drain(Duration(0));
    }

    const InstanceId firstId{"a"};
    const InstanceId secondId{"b"};
    MemoryStore store;
    Mailbox mailbox;
    Service firstService;
    Service secondService;
};

} // namespace

// Guards against a key that two threads of different instances own, a handler that is lost or runs twice, and a release that
// never ends because its claim was given up before the response arrived.
TEST_CASE("claim service gives each key to one of many threads over two instances")
{
    struct Case {
        const char *name;
        Duration transit;
    };
    constexpr std::array cases{Case{"messages arrive immediately", Duration(0)},
                               Case{"messages arrive after the claims were given up", std::chrono::milliseconds(1500)}};
    constexpr int threadCount = 6;
    constexpr int keyCount = 20;
    constexpr Duration longestRun = std::chrono::seconds(60);
    for (const Case &row : cases) {
        CAPTURE(row.name);
        TwoInstances instances(row.transit);
        instances.claimOnceOnEach();
        std::array<std::atomic<int>, keyCount> owned{};
        std::atomic<int> results = 0;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (int thread = 0; thread < threadCount; ++thread) {
            threads.emplace_back([&, thread] {
                Service &service = thread % 2 == 0 ? instances.firstService : instances.secondService;
                for (std::size_t key = 0; key < keyCount; ++key) {
                    const auto handler = [&, key](const ClaimResult &result) {
                        owned.at(key) += result.decision == ClaimDecision::Owned ? 1 : 0;
                        ++results;
                    };
                    service.claim(ServiceName("shop"), "order-" + std::to_string(key), std::chrono::hours(24), handler);
                }
            });
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
        const Instant end = ProcessClock::now() + longestRun;
        while ((results < threadCount * keyCount || !instances.isDrained()) && ProcessClock::now() < end) {
            instances.deliver();
            std::this_thread::yield();
        }
        CHECK(instances.isDrained());
        for (const std::atomic<int> &count : owned) {
            CHECK(count <= 1);
        }
        CHECK(results == threadCount * keyCount);
        CHECK(instances.firstService.statistics().forwarded + instances.secondService.statistics().forwarded > 0);
    }
}
