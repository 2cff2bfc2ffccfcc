#pragma once

#include "edge/fleet.h"
#include "edge/instanceregistration.h"
#include "edge/randomseed.h"

#include <filbertmount/membership/knowninstances.h>

#include <algorithm>
#include <functional>
#include <iterator>
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
 *
 * An instance that decides on behalf of the others lists the current state often while one is missing. If it decides for less
 * than a majority, it reports the silence of the others; if it reads a report on instances that are live, it withdraws it (see
 * SilenceReports).
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

    struct Options {
        /** Name of this instance's registration. */
        std::string instanceName;
        std::string peerAddress;
        /** Whether this instance decides on behalf of others, and so needs a current list although another one writes. */
        std::function<bool()> needsList;
        /** Called with the time of the request after a current list has been applied. */
        std::function<void(Instant sentAt)> onConfirmed;
        ChangeHandler onChange;
    };

    RegistrationUpkeep(IoLoop &loop, Protocol protocol, const StoreCallOptions &options, Dependencies dependencies, Options own)
        : m_calls(loop, options.store, eraReader(protocol, dependencies.mirror), dependencies.metrics, StateKind::Instances)
        , m_protocol(std::move(protocol))
        , m_listing(m_calls, m_protocol, {.kind = StateKind::Instances, .callTimeout = options.callTimeout})
        , m_callTimeout(options.callTimeout)
        , m_dependencies(dependencies)
        , m_options(std::move(own))
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
        const bool isDeciding = m_options.needsList();
        if (!isWriter && !isDeciding) {
            return;
        }
        const bool isMissing = m_dependencies.known.isAnyMissing(now) || m_dependencies.known.reports().hasReports(now);
        const Duration interval = isDeciding ? ConfirmationInterval : MissingInterval;
        m_nextListing = isMissing ? std::min(m_nextListing, m_listedAt + interval) : m_nextListing;
        if (const std::optional<Instant> usableAt = m_dependencies.known.reports().usableAt(); usableAt && isDeciding) {
            m_nextListing = std::min(m_nextListing, *usableAt);
        }
        if (now >= m_nextListing) {
            list(now, isDeciding);
        } else if (isDeciding && writeReport(now)) {
            return;
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

    void list(Instant now, bool isCurrent)
    {
        m_listedAt = now;
        m_nextListing = now + ListingInterval;
        m_isCalling = true;
        m_listing.read(!isCurrent, [this, now, isCurrent](StoreResult<StatePage> result) {
            m_isCalling = false;
            if (const auto *error = std::get_if<StoreError>(&result)) {
                logFailure("listing the instances failed", *error);
                return;
            }
            auto &listed = std::get<StatePage>(result);
            m_options.onChange(m_dependencies.mirror.applyListing(
                StateKind::Instances, std::move(listed.objects), listed.storeRevision, ProcessClock::now()));
            if (isCurrent) {
                m_options.onConfirmed(now);
            }
        });
    }

    /** Writes a report, or withdraws one, if that is due; returns whether it is. */
    bool writeReport(Instant now)
    {
        const KnownInstances &known = m_dependencies.known;
        if (const SilenceReport *wrong = known.reports().reportOnAny(known.live())) {
            withdraw(*wrong);
            return true;
        }
        if (const SilenceReport *obsolete = known.reports().obsoleteWithdrawal(now)) {
            remove(entryNamed(obsolete->name), "removing the withdrawal of a report");
            return true;
        }
        if (const SilenceReport *obsolete = known.obsoleteReport(now)) {
            remove(entryNamed(obsolete->name), "removing a report on departed instances");
            return true;
        }
        const std::vector<std::string> silent = known.silenceToReport(now);
        if (silent.empty()) {
            return false;
        }
        // A report that is created again must not be taken for one that was listed before.
        const std::string name = m_options.instanceName + ".silent-" + std::to_string(randomSeed());
        createReport(name, silent, false, "most instances are silent; reporting it in the store");
        return true;
    }

    /** The withdrawal goes first, so that each listing shows one of the two. */
    void withdraw(const SilenceReport &report)
    {
        if (m_dependencies.known.reports().isWithdrawn(report)) {
            remove(entryNamed(report.name), "removing a withdrawn report");
            return;
        }
        const std::vector<std::string> live = m_dependencies.known.live();
        std::vector<std::string> objecting;
        std::copy_if(
            report.silent.begin(), report.silent.end(), std::back_inserter(objecting), [&live](const std::string &address) {
                return std::find(live.begin(), live.end(), address) != live.end();
            });
        createReport(report.withdrawalName(), objecting, true, "a live instance was reported as silent; withdrawing the report");
    }

    void
    createReport(const std::string &name, const std::vector<std::string> &silent, bool isWithdrawal, const std::string &reason)
    {
        const InstanceRecord report{.peerAddress = m_options.peerAddress, .silent = silent, .isWithdrawal = isWithdrawal};
        write(m_protocol.createInstanceRequest(name, report), "create", reason, name);
    }

    [[nodiscard]] const StateObject *entryNamed(const std::string &name) const
    {
        const auto entry = m_dependencies.mirror.instances().find(name);
        return entry == m_dependencies.mirror.instances().end() ? nullptr : &entry->second;
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
            const Instant listAt = ProcessClock::now() + (m_options.needsList() ? StepInterval : MissingInterval);
            m_nextListing = listAt;
            m_nextStep = listAt;
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
    /** The same for an instance that decides on behalf of others; several fit into SilenceReportOptions::listingValidity. */
    static constexpr Duration ConfirmationInterval = std::chrono::seconds(2);
    /** Between the listings while all instances are live. */
    static constexpr Duration ListingInterval = std::chrono::minutes(10);
    static constexpr Duration StepInterval = std::chrono::milliseconds(500);

    StoreCalls m_calls;
    Protocol m_protocol;
    StateListing<Protocol> m_listing;
    Duration m_callTimeout;
    Dependencies m_dependencies;
    Options m_options;
    Instant m_listedAt{};
    Instant m_nextListing;
    Instant m_nextStep{};
    bool m_isCalling = false;
};

} // namespace Filbertmount
