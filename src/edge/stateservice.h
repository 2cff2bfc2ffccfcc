#pragma once

#include "edge/instanceregistration.h"
#include "edge/registrationupkeep.h"
#include "edge/singlelisting.h"
#include "edge/statefollower.h"
#include "edge/statereplicator.h"

#include <filbertmount/edge/evacuationstart.h>

#include <absl/random/random.h>

#include <optional>
#include <string>

namespace Filbertmount {

/**
 * Keeps the mirror up to date: reads the store when this instance is elected reader, and replicates the changes to the other
 * instances. Runs on the IoLoop.
 */
template<StoreProtocol Protocol>
class StateService
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    struct Options {
        StoreCallOptions calls;
        /** Name of this instance's entry in the store; the same after a restart, so that entries do not accumulate. */
        std::string instanceName;
        InstanceRecord instance;
        /** Whether evacuations of zones are read. */
        bool readsEvacuations = false;
        /** Whether this instance needs a current list of instances to decide on behalf of the others. */
        std::function<bool()> needsInstances = [] {
            return false;
        };
        /** Called with the time of the request after a current list of instances has been applied. */
        std::function<void(Instant sentAt)> onInstancesConfirmed = [](Instant) {};
    };

    StateService(IoLoop &loop,
                 Protocol protocol,
                 Options options,
                 StateMirror &mirror,
                 StateReplicator &replicator,
                 const Fleet &fleet,
                 const KnownInstances &known,
                 Metrics &metrics,
                 const ChangeHandler &onChange)
        : m_replicator(replicator)
        , m_onChange(onChange)
        , m_routesFollower(loop, protocol, StateKind::Routes, options.calls, mirror, metrics, storeResponseHandler())
        , m_upstreamsFollower(loop, protocol, StateKind::Upstreams, options.calls, mirror, metrics, storeResponseHandler())
        , m_routesListing(loop, protocol, StateKind::Routes, options.calls, mirror, metrics, onChange)
        , m_upstreamsListing(loop, protocol, StateKind::Upstreams, options.calls, mirror, metrics, onChange)
        , m_registration(loop, protocol, options.instanceName, options.instance, options.calls, mirror, metrics, onChange)
        , m_upkeep(loop,
                   protocol,
                   options.calls,
                   {.mirror = mirror, .fleet = fleet, .known = known, .metrics = metrics},
                   {.instanceName = options.instanceName,
                    .peerAddress = options.instance.peerAddress,
                    .needsList = options.needsInstances,
                    .onConfirmed = options.onInstancesConfirmed,
                    .onChange = onChange})
        , m_mirror(mirror)
        , m_tickTask(loop, DecisionInterval, [this] {
            tick();
        })
    {
        if (options.readsEvacuations) {
            m_evacuationsFollower.emplace(
                loop, protocol, StateKind::Evacuations, options.calls, mirror, metrics, storeResponseHandler());
            m_evacuationsListing.emplace(loop, protocol, StateKind::Evacuations, options.calls, mirror, metrics, onChange);
        }
    }

    void start()
    {
        m_replicator.setLister({.start =
                                    [this](StateKind kind) {
                                        listingOf(kind).read(false);
                                    },
                                .isRunning =
                                    [this](StateKind kind) {
                                        return listingOf(kind).isReadingCurrent();
                                    }});
        m_routesListing.read(true);
        m_upstreamsListing.read(true);
        const Instant now = ProcessClock::now();
        absl::BitGen random;
        const Duration delay(absl::Uniform(random, MinConfirmationDelay.count(), MaxConfirmationDelay.count()));
        m_routesConfirmation = FirstListings(delay);
        m_routesConfirmation.start(now);
        m_upstreamsConfirmation = FirstListings(delay);
        m_upstreamsConfirmation.start(now);
        m_evacuationsConfirmation.start(now);
        m_registration.start();
    }

    /** Lets the store list this instance as departed, because it shuts down. */
    void depart()
    {
        m_isDeparting = true;
        m_registration.depart();
    }

    /** Reads again what a return of the store from an older copy may have changed (see KnownEra). */
    void onStoreReturn()
    {
        m_routesFollower.onStoreReturn();
        m_upstreamsFollower.onStoreReturn();
        if (m_evacuationsFollower) {
            m_evacuationsFollower->onStoreReturn();
        }
        m_registration.onStoreReturn();
    }

    /** Lists the store's objects again after a suspension: the state may be old, and the age of confirmations is unknown. */
    void rereadStore()
    {
        m_replicator.forgetConfirmations();
        m_routesListing.cancel();
        m_upstreamsListing.cancel();
        if (m_evacuationsListing) {
            m_evacuationsListing->cancel();
        }
        m_routesFollower.start();
        m_upstreamsFollower.start();
        if (m_evacuationsFollower) {
            m_evacuationsFollower->start();
        }
    }

private:
    static constexpr Duration DecisionInterval = std::chrono::milliseconds(40);
    /**
     * Bounds of the time from the start to the first listing of a state without a confirmation. Drawn at random, so that of
     * instances that start together only some list. In a running fleet, others confirm the state before.
     */
    static constexpr Duration MinConfirmationDelay = std::chrono::milliseconds(100);
    static constexpr Duration MaxConfirmationDelay = std::chrono::milliseconds(600);

    typename StateFollower<Protocol>::StoreResponseHandler storeResponseHandler()
    {
        return [this](StateKind kind, std::optional<Revision> before, const MirrorChanges &changes) {
            m_onChange(changes);
            m_replicator.onStoreResponse(kind, before, changes, ProcessClock::now());
        };
    }

    void tick()
    {
        const Instant now = ProcessClock::now();
        m_replicator.tick(now);
        if (!m_isDeparting) {
            m_upkeep.tick(now);
        }
        startOrStop(m_routesFollower, m_replicator.shouldRead(StateKind::Routes, now), StateKind::Routes);
        startOrStop(m_upstreamsFollower, m_replicator.shouldRead(StateKind::Upstreams, now), StateKind::Upstreams);
        if (m_evacuationsFollower) {
            startOrStop(*m_evacuationsFollower, m_replicator.shouldRead(StateKind::Evacuations, now), StateKind::Evacuations);
            listIfDue(m_evacuationsConfirmation, *m_evacuationsListing, StateKind::Evacuations, now);
        }
        listIfDue(m_routesConfirmation, m_routesListing, StateKind::Routes, now);
        listIfDue(m_upstreamsConfirmation, m_upstreamsListing, StateKind::Upstreams, now);
    }

    /** Of the kinds whose state may be large; evacuations are not. */
    SingleListing<Protocol> &listingOf(StateKind kind)
    {
        return kind == StateKind::Routes ? m_routesListing : m_upstreamsListing;
    }

    void listIfDue(FirstListings &first, SingleListing<Protocol> &listing, StateKind kind, Instant now)
    {
        if (listing.isReadingCurrent()) {
            return;
        }
        if (first.isDue(m_mirror.startConfirmation().certainty(kind) == StateCertainty::Current, now)) {
            // The digest confirms the state of the others that have just started, so that few of them list it.
            listing.read(false, [this, kind] {
                m_replicator.onConfirmed(kind, ProcessClock::now());
            });
        }
    }

    void startOrStop(StateFollower<Protocol> &follower, bool shouldRead, StateKind kind)
    {
        if (follower.isRunning() == shouldRead) {
            return;
        }
        logLine(LogLevel::Info,
                shouldRead ? "this instance reads the store" : "another instance reads the store",
                {{.name = "kind", .value = std::string(stateKindName(kind))}});
        if (shouldRead) {
            follower.start();
        } else {
            follower.stop();
        }
    }

    StateReplicator &m_replicator;
    ChangeHandler m_onChange;
    StateFollower<Protocol> m_routesFollower;
    StateFollower<Protocol> m_upstreamsFollower;
    SingleListing<Protocol> m_routesListing;
    SingleListing<Protocol> m_upstreamsListing;
    /** Both exist only if evacuations are read. */
    std::optional<StateFollower<Protocol>> m_evacuationsFollower;
    std::optional<SingleListing<Protocol>> m_evacuationsListing;
    FirstListings m_routesConfirmation;
    FirstListings m_upstreamsConfirmation;
    FirstListings m_evacuationsConfirmation;
    InstanceRegistration<Protocol> m_registration;
    RegistrationUpkeep<Protocol> m_upkeep;
    const StateMirror &m_mirror;
    PeriodicTask m_tickTask;
    bool m_isDeparting = false;
};

} // namespace Filbertmount
