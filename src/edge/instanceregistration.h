#pragma once

#include "edge/randomseed.h"
#include "edge/statelisting.h"

#include <filbertmount/edge/retrypause.h>
#include <filbertmount/edge/statemirror.h>
#include <filbertmount/telemetry/log.h>

#include <absl/random/random.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace Filbertmount {

/** Returns the name of the departure that belongs to the registration @p name. */
inline std::string departureName(const std::string &name)
{
    return name + ".departed";
}

/**
 * Registers an entry instance in the store's list of instances and reads the others from it. Runs on the IoLoop.
 *
 * Instances normally find each other through the seeds in their settings. The list is a fallback for when all seeds are gone,
 * so it may be stale and is read some time after the start. It also states how many instances there are when most of them cannot
 * be reached. An instance whose entry from an earlier run exists creates none; it creates one again if the store has lost it. One
 * that shuts down adds a departure, which its next process removes.
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
        : m_calls(loop, options.store, eraReader(protocol, mirror), metrics, StateKind::Instances)
        , m_protocol(std::move(protocol))
        , m_listing(m_calls, m_protocol, {.kind = StateKind::Instances, .callTimeout = options.callTimeout})
        , m_name(std::move(name))
        , m_record(std::move(record))
        , m_options(std::move(options))
        , m_mirror(mirror)
        , m_onChange(std::move(onChange))
        , m_timer(loop)
        , m_listingPause({.first = m_options.firstRetryDelay, .max = MaxRetryDelay, .seed = randomSeed()})
        , m_departurePause({.first = m_options.firstRetryDelay, .max = m_options.maxRetryDelay, .seed = randomSeed()})
    {
    }

    void start()
    {
        listLater(FirstListingDelay);
    }

    /** Lists again after a random time, because the store may have lost the entry of this instance. */
    void onStoreReturn()
    {
        if (m_isDeparting) {
            return;
        }
        m_calls.cancel();
        m_isRegistered = false;
        m_listings = 0;
        absl::BitGen random;
        listLater(Duration(absl::Uniform(random, FirstListingDelay.count(), SecondListingDelay.count())));
    }

    /** Adds the departure of this instance, which shuts down, and makes no further calls. */
    void depart()
    {
        m_isDeparting = true;
        m_timer.cancel();
        m_calls.cancel();
        createDeparture();
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
        ++m_listings;
        m_onChange(
            m_mirror.applyListing(StateKind::Instances, std::move(listed->objects), listed->storeRevision, ProcessClock::now()));
        const auto departure = m_mirror.instances().find(departureName(m_name));
        if (!m_isRegistered && !m_mirror.instances().contains(m_name)) {
            registerInstance();
        } else if (departure != m_mirror.instances().end()) {
            removeDeparture(departure->second.revision);
        } else if (m_listings < MinListings) {
            listLater(SecondListingDelay);
        }
    }

    void registerInstance()
    {
        write(m_protocol.createInstanceRequest(m_name, m_record), "create", [this](std::optional<StoreProblem> problem) {
            // A conflict means that an earlier call, whose response was lost, created the entry.
            if (problem && problem != StoreProblem::Conflict) {
                retryLater();
                return;
            }
            m_isRegistered = true;
            listLater(SecondListingDelay);
        });
    }

    void createDeparture()
    {
        const InstanceRecord departure{.peerAddress = m_record.peerAddress, .isDeparture = true};
        write(m_protocol.createInstanceRequest(departureName(m_name), departure),
              "create",
              [this](std::optional<StoreProblem> problem) {
                  if (!problem || problem == StoreProblem::Conflict) {
                      logLine(LogLevel::Info, "the store lists this instance as departed");
                      return;
                  }
                  m_timer.start(m_departurePause.next(), [this] {
                      createDeparture();
                  });
              });
    }

    void removeDeparture(Revision revision)
    {
        write(m_protocol.deleteInstanceRequest(departureName(m_name), revision),
              "delete",
              [this](std::optional<StoreProblem> problem) {
                  if (problem && problem != StoreProblem::Missing) {
                      retryLater();
                      return;
                  }
                  listLater(SecondListingDelay);
              });
    }

    /** @p onDone receives the problem of a failed call. */
    void write(const StoreRequest &request, const std::string &operation, std::function<void(std::optional<StoreProblem>)> onDone)
    {
        m_calls.call(request, operation, m_options.callTimeout, [this, onDone = std::move(onDone)](const CallResult &result) {
            const auto written = result.parse([this](int status, const std::string &body, StoreEra /*era*/) {
                return m_protocol.parseWriteResponse(status, body);
            });
            const auto *error = std::get_if<StoreError>(&written);
            onDone(error == nullptr ? std::nullopt : std::optional(error->problem));
        });
    }

    void retryLater()
    {
        listLater(m_listingPause.next());
    }

    void listLater(Duration delay)
    {
        m_timer.start(delay, [this] {
            list();
        });
    }

    /** Live seeds respond to a joining instance within this time. */
    static constexpr Duration FirstListingDelay = std::chrono::milliseconds(600);
    /** After this time, even a stale listing contains what the instances wrote at the start and at the shutdown before. */
    static constexpr Duration SecondListingDelay = std::chrono::seconds(4);
    /** The first listing may be older than the departure of the process before. */
    static constexpr int MinListings = 2;
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
    RetryPause m_listingPause;
    RetryPause m_departurePause;
    bool m_isRegistered = false;
    bool m_isDeparting = false;
    int m_listings = 0;
};

} // namespace Filbertmount
