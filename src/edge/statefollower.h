#pragma once

#include "edge/randomseed.h"
#include "edge/statelisting.h"

#include <filbertmount/edge/retrypause.h>
#include <filbertmount/edge/statemirror.h>
#include <filbertmount/telemetry/log.h>

#include <functional>
#include <string>
#include <utility>

namespace Filbertmount {

/**
 * Keeps one kind of the store's objects up to date in the mirror: lists them, then watches for changes. Lists again after
 * every failed call, when the store has compacted the history and when it has returned from an older copy. Runs on the IoLoop.
 */
template<StoreProtocol Protocol>
class StateFollower
{
public:
    /** Receives the mirror's revision before each response from the store, and what the response changed. */
    using StoreResponseHandler = std::function<void(StateKind, std::optional<Revision> before, const MirrorChanges &)>;

    StateFollower(IoLoop &loop,
                  Protocol protocol,
                  StateKind kind,
                  StoreCallOptions options,
                  StateMirror &mirror,
                  Metrics &metrics,
                  StoreResponseHandler onResponse)
        : m_protocol(std::move(protocol))
        , m_kind(kind)
        , m_options(std::move(options))
        , m_calls(loop, m_options.store, eraReader(m_protocol, mirror), metrics, kind)
        , m_listing(m_calls, m_protocol, {.kind = kind, .callTimeout = m_options.callTimeout})
        , m_mirror(mirror)
        , m_onResponse(std::move(onResponse))
        , m_timer(loop)
        , m_retryPause(pauseOptions())
        , m_historyPause(pauseOptions())
    {
    }

    /** Cancels a call in progress and starts with a listing. */
    void start()
    {
        stop();
        m_isRunning = true;
        list();
    }

    /** Lists again if a watch from a position before the store's return is in progress; everything else ends in a listing. */
    void onStoreReturn()
    {
        if (m_isRunning && m_isWatching) {
            start();
        }
    }

    /** Cancels a call in progress and makes no further calls. */
    void stop()
    {
        m_isRunning = false;
        m_isWatching = false;
        m_calls.cancel();
        m_timer.cancel();
    }

    [[nodiscard]] bool isRunning() const
    {
        return m_isRunning;
    }

private:
    void list()
    {
        m_listing.read(false, [this](StoreResult<StatePage> result) {
            onListed(std::move(result));
        });
    }

    void onListed(StoreResult<StatePage> result)
    {
        if (hasResumed()) {
            return;
        }
        if (const auto *error = std::get_if<StoreError>(&result)) {
            onError(*error, "list");
            return;
        }
        recordResponse();
        auto &listed = std::get<StatePage>(result);
        reportUnidentified(listed.unidentified);
        const std::optional<Revision> before = m_mirror.revision(m_kind);
        if (before && listed.storeRevision < *before) {
            logIgnoredListing(listed.storeRevision, *before);
        }
        MirrorChanges changes =
            m_mirror.applyListing(m_kind, std::move(listed.objects), listed.storeRevision, ProcessClock::now());
        changes.origin = StateOrigin::Listing;
        m_onResponse(m_kind, before, changes);
        watch();
    }

    /** Shortens the wait by @p waited, so that the store confirms the state as often after a pause as without one. */
    void watch(Duration waited = Duration::zero())
    {
        const std::optional<Revision> from = m_mirror.revision(m_kind);
        if (!from) {
            list();
            return;
        }
        m_isWatching = true;
        m_calls.call(m_protocol.watchRequest(m_kind, *from, m_options.watchWait - waited),
                     "watch",
                     m_options.watchWait + m_options.callTimeout,
                     [this, from = *from](const CallResult &result) {
                         m_isWatching = false;
                         onChanges(from, result.parse([this](int status, const std::string &body, StoreEra era) {
                             return m_protocol.parseChanges(m_kind, status, body, era);
                         }));
                     });
    }

    void onChanges(Revision from, StoreResult<StateChanges> result)
    {
        if (hasResumed()) {
            return;
        }
        const auto *error = std::get_if<StoreError>(&result);
        if (error != nullptr && error->problem == StoreProblem::HistoryGone) {
            recordResponse();
            logLine(LogLevel::Info,
                    "the store's history is gone; listing again",
                    {{.name = "kind", .value = std::string(stateKindName(m_kind))}});
            listAfter(m_historyPause.next());
            return;
        }
        if (error != nullptr) {
            onError(*error, "watch");
            return;
        }
        recordResponse();
        const auto &received = std::get<StateChanges>(result);
        if (received.storeRevision.era() != from.era()) {
            // The changes are those after a number that was given out again; the ones before it are missing.
            list();
            return;
        }
        m_historyPause.reset();
        const std::optional<Revision> before = m_mirror.revision(m_kind);
        reportUnidentified(received.unidentified);
        MirrorChanges changes = m_mirror.applyChanges(m_kind, received, ProcessClock::now());
        changes.origin = StateOrigin::Watch;
        m_onResponse(m_kind, before, changes);
        if (received.changes.empty()) {
            watch();
        } else {
            runAfter(m_options.pauseAfterChanges, [this] {
                watch(m_options.pauseAfterChanges);
            });
        }
    }

    /** Whether the response is dropped because it may be old; the listing after a suspension has been started then. */
    [[nodiscard]] bool hasResumed() const
    {
        return m_options.hasResumed && m_options.hasResumed();
    }

    void recordResponse()
    {
        if (m_hasFailed) {
            logLine(LogLevel::Info, "the store answers again", {{.name = "kind", .value = std::string(stateKindName(m_kind))}});
        }
        m_hasFailed = false;
        m_retryPause.reset();
        m_mirror.recordStoreCall(true, ProcessClock::now());
    }

    /** Logs when the number of objects without a valid name or revision has changed, so that a lasting one is logged once. */
    void reportUnidentified(std::size_t count)
    {
        if (count != m_unidentified && count > 0) {
            logLine(LogLevel::Warning,
                    "objects of the store have no valid name or revision",
                    {{.name = "kind", .value = std::string(stateKindName(m_kind))},
                     {.name = "objects", .value = static_cast<std::int64_t>(count)}});
        }
        m_unidentified = count;
    }

    void logIgnoredListing(Revision listed, Revision known)
    {
        logLine(LogLevel::Info,
                "a listing is ignored because it is older than the known state",
                {{.name = "kind", .value = std::string(stateKindName(m_kind))},
                 {.name = "revision", .value = static_cast<std::int64_t>(listed.value())},
                 {.name = "known_revision", .value = static_cast<std::int64_t>(known.value())}});
    }

    void onError(const StoreError &error, const std::string &operation)
    {
        // A store that refuses only this optional kind is not away; upstreams must not be kept because of it.
        if (m_kind != StateKind::Evacuations) {
            m_mirror.recordStoreCall(false, ProcessClock::now());
        }
        m_mirror.startConfirmation().recordFailedListing();
        if (!m_hasFailed || error.problem == StoreProblem::Malformed) {
            logLine(LogLevel::Warning,
                    "a call to the store failed",
                    {{.name = "kind", .value = std::string(stateKindName(m_kind))},
                     {.name = "operation", .value = operation},
                     {.name = "problem", .value = std::string(storeProblemName(error.problem))},
                     {.name = "reason", .value = error.reason}});
        }
        m_hasFailed = true;
        // An interrupted watch may have missed changes, and a new one from the same revision may keep waiting although the
        // history that it needs is gone. Only a listing returns the current state.
        listAfter(m_retryPause.next());
    }

    void listAfter(Duration pause)
    {
        runAfter(pause, [this] {
            list();
        });
    }

    [[nodiscard]] RetryPause::Options pauseOptions() const
    {
        return {.first = m_options.firstRetryDelay, .max = m_options.maxRetryDelay, .seed = randomSeed()};
    }

    template<class Action>
    void runAfter(Duration delay, Action action)
    {
        m_timer.start(delay, action);
    }

    Protocol m_protocol;
    StateKind m_kind;
    StoreCallOptions m_options;
    StoreCalls m_calls;
    StateListing<Protocol> m_listing;
    StateMirror &m_mirror;
    StoreResponseHandler m_onResponse;
    OneShotTimer m_timer;
    /** After failed calls. */
    RetryPause m_retryPause;
    /** After watches from a position that the store does not have. */
    RetryPause m_historyPause;
    /** Objects without a valid name or revision in the last response. */
    std::size_t m_unidentified = 0;
    bool m_hasFailed = false;
    bool m_isRunning = false;
    bool m_isWatching = false;
};

} // namespace Filbertmount
