#pragma once

#include <filbertmount/claims/claimcoordinator.h>
#include <filbertmount/claims/claimtypes.h>
#include <filbertmount/peer/peersender.h>
#include <filbertmount/store/objectstore.h>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Filbertmount {

/**
 * Claims idempotency keys in the store, so that a request that may not be repeated runs at most once. Thread-safe.
 * Runs the commands of a ClaimCoordinator: store calls on its own threads, messages through a PeerSender.
 *
 * @tparam Store is called from several threads of this service; the store must outlive the service.
 */
template<ObjectStore Store>
class ClaimService
{
public:
    /** Concurrent store calls; each has a thread of its own. */
    static constexpr int DefaultStoreCalls = 8;

    ClaimService(Store &store,
                 const InstanceId &self,
                 PeerSender sender,
                 const ClaimOptions &options,
                 int storeCalls = DefaultStoreCalls)
        : m_store(store)
        , m_sender(std::move(sender))
        , m_coordinator(self, options)
    {
        for (int call = 0; call < storeCalls; ++call) {
            m_threads.emplace_back([this] {
                runStoreCalls();
            });
        }
        m_threads.emplace_back([this] {
            runTimer();
        });
    }

    /** Ends claims without a decision as Unavailable. Without a drain() before, open releases and completions are lost. */
    ~ClaimService()
    {
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_stopping = true;
            m_changed.notify_all();
        }
        for (std::thread &thread : m_threads) {
            thread.join();
        }
        for (auto &[request, handler] : m_handlers) {
            handler(ClaimResult{});
        }
    }

    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /** Claims @p idempotencyKey for one attempt. @p handler runs exactly once, possibly before this returns. */
    void claim(const ServiceName &service, const std::string &idempotencyKey, Duration retention, ClaimHandler handler)
    {
        const ClaimId id{.service = service, .key = claimKey(idempotencyKey), .nonce = randomClaimNonce()};
        update([&](Instant now) {
            const RequestId request(++m_lastRequest);
            m_handlers.emplace(request, std::move(handler));
            m_coordinator.claim(request, id, retention, now);
        });
    }

    /** Records the HTTP @p status of a complete response, so that a resend is answered AlreadyRun. */
    void complete(const ClaimId &id, int status)
    {
        update([&](Instant now) {
            m_coordinator.complete(id, status, now);
        });
    }

    /** Removes an owned claim. Only for a request that was not run and that this attempt will never send again. */
    void release(const ClaimId &id)
    {
        update([&](Instant now) {
            m_coordinator.release(id, now);
        });
    }

    void receive(const InstanceId &from, const Wire::ClaimRequest &request)
    {
        update([&](Instant now) {
            m_coordinator.receive(from, request, now);
        });
    }
    void receive(const InstanceId &from, const Wire::ClaimReply &reply)
    {
        update([&](Instant now) {
            m_coordinator.receive(from, reply, now);
        });
    }

    /** Sets the live entry instances, including this one. */
    void setMembers(std::vector<InstanceId> members)
    {
        update([&](Instant) {
            m_coordinator.setMembers(std::move(members));
        });
    }

    /** Waits up to @p maxWait until no operation is open. Returns whether all are finished. */
    bool drain(Duration maxWait)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        const Instant end = ProcessClock::now() + maxWait;
        while (m_coordinator.openOperations() > 0 && ProcessClock::now() < end) {
            m_changed.wait_for(lock, end - ProcessClock::now());
        }
        return m_coordinator.openOperations() == 0;
    }

    [[nodiscard]] ClaimStatistics statistics() const
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        return m_coordinator.statistics();
    }

private:
    struct HandlerCall {
        ClaimHandler handler;
        ClaimResult result;
    };
    /** Messages to send and handlers to call after the lock is released. */
    struct Outbox {
        std::vector<ClaimMessage> messages;
        std::vector<HandlerCall> handlerCalls;
    };

    template<class Change>
    void update(Change change)
    {
        Outbox outbox;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            change(ProcessClock::now());
            collect(&outbox);
        }
        deliver(std::move(outbox));
    }

    void collect(Outbox *outbox)
    {
        for (ClaimCommand &command : m_coordinator.takeCommands()) {
            if (auto *call = std::get_if<ClaimStoreCall>(&command)) {
                m_calls.push_back(std::move(*call));
            } else if (auto *message = std::get_if<ClaimMessage>(&command)) {
                outbox->messages.push_back(std::move(*message));
            } else {
                collectHandlerCall(std::get<ClaimDecided>(command), outbox);
            }
        }
        m_changed.notify_all();
    }

    void collectHandlerCall(const ClaimDecided &decided, Outbox *outbox)
    {
        auto handler = m_handlers.extract(decided.request);
        if (!handler.empty()) {
            outbox->handlerCalls.push_back({.handler = std::move(handler.mapped()), .result = decided.result});
        }
    }

    void deliver(Outbox outbox)
    {
        for (ClaimMessage &message : outbox.messages) {
            Wire::Envelope envelope;
            *envelope.add_bodies() = std::move(message.body);
            m_sender(message.to, std::move(envelope));
        }
        for (HandlerCall &call : outbox.handlerCalls) {
            call.handler(call.result);
        }
    }

    void runStoreCalls()
    {
        while (true) {
            ClaimStoreCall call;
            {
                std::unique_lock<std::mutex> lock(m_mutex);
                while (!m_stopping && m_calls.empty()) {
                    m_changed.wait(lock);
                }
                if (m_stopping) {
                    return;
                }
                call = std::move(m_calls.front());
                m_calls.pop_front();
            }
            const StoreReply reply = makeStoreCall(call);
            update([&](Instant now) {
                m_coordinator.finishStoreCall(call.number, reply, now);
            });
        }
    }

    StoreReply makeStoreCall(const ClaimStoreCall &call)
    {
        const auto *write = std::get_if<ShardWrite>(&call.call);
        return write == nullptr ? m_store.read(call.object) : m_store.update(call.object, write->value, write->base);
    }

    void runTimer()
    {
        while (true) {
            {
                std::unique_lock<std::mutex> lock(m_mutex);
                if (m_stopping) {
                    return;
                }
                // Capped at 1 s, so that tick() also evicts cached shards while no operation is open.
                const Duration wait = std::min<Duration>(m_coordinator.wakeAt() - ProcessClock::now(), std::chrono::seconds(1));
                if (wait > Duration(0)) {
                    m_changed.wait_for(lock, wait);
                }
                if (m_stopping) {
                    return;
                }
            }
            update([&](Instant now) {
                m_coordinator.tick(now);
            });
        }
    }

    Store &m_store;
    PeerSender m_sender;
    // Guards all members below. A std::mutex, because the thread sanitizer does not see that absl::CondVar releases its lock
    // while it waits.
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    ClaimCoordinator m_coordinator;
    absl::flat_hash_map<RequestId, ClaimHandler> m_handlers;
    std::deque<ClaimStoreCall> m_calls;
    std::uint64_t m_lastRequest = 0;
    bool m_stopping = false;
    std::vector<std::thread> m_threads;
};

} // namespace Filbertmount
