#pragma once

#include "edge/fleet.h"
#include "edge/instanceregistration.h"

#include <filbertmount/membership/knowninstances.h>

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace Filbertmount {

/**
 * Corrects the store's list of instances when instances leave without announcing it. Runs on the IoLoop.
 *
 * Only one live instance writes. It lists the instances while one of them is missing, adds the departure of an instance that was
 * silent for very long, removes a departure that a restarted instance failed to remove, and deletes the entries of instances that
 * departed long ago. It adds departures only while more than half of the known instances are live: on the smaller side of a
 * partition, the other side is silent too.
 */
template<StoreProtocol Protocol>
class RegistrationUpkeep
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    struct Dependencies {
        StateMirror &mirror;
        const Fleet &fleet;
        const KnownInstances &known;
        Metrics &metrics;
    };

    /** @param needsList whether this instance needs a current list although another one writes */
    RegistrationUpkeep(IoLoop &loop,
                       Protocol protocol,
                       const StoreCallOptions &options,
                       Dependencies dependencies,
                       std::function<bool()> needsList,
                       ChangeHandler onChange)
        : m_calls(loop, options.store, eraReader(protocol, dependencies.mirror), dependencies.metrics, StateKind::Instances)
        , m_protocol(std::move(protocol))
        , m_listing(m_calls, m_protocol, {.kind = StateKind::Instances, .callTimeout = options.callTimeout})
        , m_callTimeout(options.callTimeout)
        , m_dependencies(dependencies)
        , m_needsList(std::move(needsList))
        , m_onChange(std::move(onChange))
        , m_nextListing(ProcessClock::now() + MissingInterval)
    {
    }

    /** Makes the next call when it is due. Call about every 100 ms or more often. */
    void tick(Instant now)
    {
        if (m_isCalling || now < m_nextStep) {
            return;
        }
        m_nextStep = now + StepInterval;
        const bool isWriter = this->isWriter();
        if (!isWriter && !m_needsList()) {
            return;
        }
        const bool isMissing = m_dependencies.known.isAnyMissing(now);
        m_nextListing = isMissing ? std::min(m_nextListing, m_listedAt + MissingInterval) : m_nextListing;
        if (now >= m_nextListing) {
            list(now);
        } else if (isWriter) {
            writeNext(now);
        }
    }

private:
    /** The live instance that comes first in the order of ids among those on large machines. */
    [[nodiscard]] bool isWriter() const
    {
        const std::vector<InstanceId> coordinators = m_dependencies.fleet.coordinatorIds();
        return !coordinators.empty() && coordinators.front() == m_dependencies.fleet.self();
    }

    void list(Instant now)
    {
        m_listedAt = now;
        m_nextListing = now + ListingInterval;
        m_isCalling = true;
        m_listing.read(true, [this](StoreResult<StatePage> result) {
            m_isCalling = false;
            if (const auto *error = std::get_if<StoreError>(&result)) {
                logFailure("listing the instances failed", *error);
                return;
            }
            auto &listed = std::get<StatePage>(result);
            m_onChange(m_dependencies.mirror.applyListing(
                StateKind::Instances, std::move(listed.objects), listed.storeRevision, ProcessClock::now()));
        });
    }

    void writeNext(Instant now)
    {
        const KnownInstances &known = m_dependencies.known;
        if (const std::vector<std::string> wrong = known.wrongDepartures(now); !wrong.empty()) {
            remove(entryAt(wrong.front(), true), "a live instance was listed as departed");
            return;
        }
        const std::vector<std::string> silent = known.silentInstances(now);
        if (!silent.empty() && known.isMajorityLive(now)) {
            addDeparture(silent.front());
            return;
        }
        if (const std::vector<std::string> obsolete = known.obsoleteDepartures(now); !obsolete.empty()) {
            const StateObject *registration = entryAt(obsolete.front(), false);
            // The departure goes last, so that the instance does not count in between.
            remove(registration != nullptr ? registration : entryAt(obsolete.front(), true), "removing a departed instance");
        }
    }

    [[nodiscard]] const StateObject *entryAt(const std::string &peerAddress, bool isDeparture) const
    {
        for (const auto &[name, object] : m_dependencies.mirror.instances()) {
            if (std::get<InstanceRecord>(object.value)
                == InstanceRecord{.peerAddress = peerAddress, .isDeparture = isDeparture}) {
                return &object;
            }
        }
        return nullptr;
    }

    void addDeparture(const std::string &peerAddress)
    {
        if (const StateObject *registration = entryAt(peerAddress, false)) {
            const InstanceRecord departure{.peerAddress = peerAddress, .isDeparture = true};
            write(m_protocol.createInstanceRequest(departureName(registration->name), departure),
                  "create",
                  "an instance was silent for too long",
                  registration->name);
        }
    }

    void remove(const StateObject *entry, const std::string &reason)
    {
        if (entry != nullptr) {
            write(m_protocol.deleteInstanceRequest(entry->name, entry->revision), "delete", reason, entry->name);
        }
    }

    /** The listing that follows shows whether the call has taken effect. */
    void write(const StoreRequest &request, const std::string &operation, const std::string &reason, const std::string &entry)
    {
        logLine(LogLevel::Info, reason, {{.name = "entry", .value = entry}});
        m_isCalling = true;
        m_calls.call(request, operation, m_callTimeout, [this](const CallResult &result) {
            m_isCalling = false;
            const auto written = result.parse([this](int status, const std::string &body, StoreEra /*era*/) {
                return m_protocol.parseWriteResponse(status, body);
            });
            if (const auto *error = std::get_if<StoreError>(&written)) {
                logFailure("an entry of an instance was not changed", *error);
            }
            m_nextListing = ProcessClock::now() + MissingInterval;
            m_nextStep = m_nextListing;
        });
    }

    static void logFailure(const std::string &message, const StoreError &error)
    {
        logLine(LogLevel::Info,
                message,
                {{.name = "problem", .value = std::string(storeProblemName(error.problem))},
                 {.name = "reason", .value = error.reason}});
    }

    /** Between the listings while an instance is missing. */
    static constexpr Duration MissingInterval = std::chrono::seconds(5);
    /** Between the listings while all instances are live. */
    static constexpr Duration ListingInterval = std::chrono::minutes(10);
    static constexpr Duration StepInterval = std::chrono::milliseconds(500);

    StoreCalls m_calls;
    Protocol m_protocol;
    StateListing<Protocol> m_listing;
    Duration m_callTimeout;
    Dependencies m_dependencies;
    std::function<bool()> m_needsList;
    ChangeHandler m_onChange;
    Instant m_listedAt{};
    Instant m_nextListing;
    Instant m_nextStep{};
    bool m_isCalling = false;
};

} // namespace Filbertmount
