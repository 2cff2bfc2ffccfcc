#pragma once

#include "edge/statelisting.h"

#include <filbertmount/edge/statemirror.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace Filbertmount {

/**
 * Registers an entry instance in the store's list of instances and reads the others from it. Runs on the IoLoop.
 *
 * Instances normally find each other through the seeds in their settings. The list is a fallback for when all seeds are gone,
 * so it may be stale and is read some time after the start. An instance whose entry from an earlier run exists creates none.
 */
template<StoreProtocol Protocol>
class InstanceRegistration
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    InstanceRegistration(IoLoop &loop,
                         Protocol protocol,
                         std::string name,
                         InstanceRecord record,
                         StoreCallOptions options,
                         StateMirror &mirror,
                         Metrics &metrics,
                         ChangeHandler onChange)
        : m_calls(loop, options.store, metrics, StateKind::Instances)
        , m_protocol(std::move(protocol))
        , m_listing(m_calls, m_protocol, {.kind = StateKind::Instances, .callTimeout = options.callTimeout})
        , m_name(std::move(name))
        , m_record(std::move(record))
        , m_options(std::move(options))
        , m_mirror(mirror)
        , m_onChange(std::move(onChange))
        , m_timer(loop)
        , m_retryDelay(m_options.firstRetryDelay)
    {
    }

    void start()
    {
        listLater(FirstListingDelay);
    }

private:
    void list()
    {
        m_listing.read(true, [this](StoreResult<StatePage> result) {
            onListed(std::move(result));
        });
    }

    void onListed(StoreResult<StatePage> result)
    {
        auto *listed = std::get_if<StatePage>(&result);
        if (listed == nullptr) {
            retryLater();
            return;
        }
        m_onChange(
            m_mirror.applyListing(StateKind::Instances, std::move(listed->objects), listed->storeRevision, ProcessClock::now()));
        if (!m_isRegistered && !m_mirror.instances().contains(m_name)) {
            registerInstance();
        }
    }

    void registerInstance()
    {
        m_calls.call(m_protocol.createInstanceRequest(m_name, m_record),
                     "create",
                     m_options.callTimeout,
                     [this](const CallResult &result) {
                         const auto written = result.parse([this](int status, const std::string &body) {
                             return m_protocol.parseWriteResponse(status, body);
                         });
                         const auto *error = std::get_if<StoreError>(&written);
                         // A conflict means that an earlier call, whose response was lost, created the entry.
                         if (error != nullptr && error->problem != StoreProblem::Conflict) {
                             retryLater();
                             return;
                         }
                         m_isRegistered = true;
                         listLater(SecondListingDelay);
                     });
    }

    void retryLater()
    {
        listLater(m_retryDelay);
        m_retryDelay = std::min<Duration>(2 * m_retryDelay, MaxRetryDelay);
    }

    void listLater(Duration delay)
    {
        m_timer.start(delay, [this] {
            list();
        });
    }

    /** Live seeds respond to a joining instance within this time. */
    static constexpr Duration FirstListingDelay = std::chrono::milliseconds(600);
    /** After this time, even a stale listing contains the entries that other instances created at the same time. */
    static constexpr Duration SecondListingDelay = std::chrono::seconds(4);
    /** Long, because nothing urgent depends on the list of instances. */
    static constexpr Duration MaxRetryDelay = std::chrono::seconds(4);

    StoreCalls m_calls;
    Protocol m_protocol;
    StateListing<Protocol> m_listing;
    std::string m_name;
    InstanceRecord m_record;
    StoreCallOptions m_options;
    StateMirror &m_mirror;
    ChangeHandler m_onChange;
    OneShotTimer m_timer;
    Duration m_retryDelay;
    bool m_isRegistered = false;
};

} // namespace Filbertmount
