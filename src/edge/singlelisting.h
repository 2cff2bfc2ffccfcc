#pragma once

#include "edge/statelisting.h"

#include <filbertmount/edge/statemirror.h>
#include <filbertmount/telemetry/log.h>

#include <functional>
#include <string>
#include <utility>

namespace Filbertmount {

/**
 * Lists one kind of the store's objects once, on an instance that is not a reader. Runs on the IoLoop.
 *
 * At process start, the listing may be seconds old: all instances of a fleet list when they start together, and a call that
 * accepts an old response costs a tenth of one that requests the current state. What it returns is not in force before it is
 * confirmed (see StartConfirmation). If the call fails, the state comes from the other instances.
 */
template<StoreProtocol Protocol>
class SingleListing
{
public:
    using ChangeHandler = std::function<void(const MirrorChanges &)>;

    SingleListing(IoLoop &loop,
                  Protocol protocol,
                  StateKind kind,
                  const StoreCallOptions &options,
                  StateMirror &mirror,
                  Metrics &metrics,
                  ChangeHandler onChange)
        : m_kind(kind)
        , m_calls(loop, options.store, eraReader(protocol, mirror), metrics, kind)
        , m_listing(m_calls, std::move(protocol), {.kind = kind, .callTimeout = options.callTimeout})
        , m_mirror(mirror)
        , m_onChange(std::move(onChange))
    {
    }

    /**
     * Starts a listing, unless one that states as much is in progress: starting it again would never end if the response takes
     * longer than the time between two calls.
     * @param onSuccess called after the listing was applied; may be empty
     */
    void read(bool mayBeStale, std::function<void()> onSuccess = {})
    {
        if (m_isReading && (mayBeStale || m_isReadingCurrent)) {
            m_onSuccess = onSuccess ? std::move(onSuccess) : std::move(m_onSuccess);
            return;
        }
        m_calls.cancel();
        m_isReading = true;
        m_isReadingCurrent = !mayBeStale;
        m_onSuccess = std::move(onSuccess);
        m_listing.read(mayBeStale, [this, mayBeStale](StoreResult<StatePage> result) {
            onListed(std::move(result), mayBeStale);
        });
    }

    /** Makes no further calls, and ignores the response to one in progress. */
    void cancel()
    {
        m_isReading = false;
        m_calls.cancel();
    }

    /** Whether a listing of the current state is in progress. */
    [[nodiscard]] bool isReadingCurrent() const
    {
        return m_isReading && m_isReadingCurrent;
    }

private:
    void onListed(StoreResult<StatePage> result, bool mayBeStale)
    {
        m_isReading = false;
        if (const auto *error = std::get_if<StoreError>(&result)) {
            logLine(LogLevel::Info,
                    "a single listing failed; asking other instances",
                    {{.name = "kind", .value = std::string(stateKindName(m_kind))},
                     {.name = "problem", .value = std::string(storeProblemName(error->problem))},
                     {.name = "reason", .value = error->reason}});
            m_mirror.startConfirmation().recordFailedListing();
            return;
        }
        auto &listed = std::get<StatePage>(result);
        const StateCertainty certainty = mayBeStale ? StateCertainty::OldListing : StateCertainty::Current;
        m_mirror.startConfirmation().record(m_kind, certainty, ProcessClock::now());
        MirrorChanges changes = m_mirror.applyListing(
            m_kind, std::move(listed.objects), listed.storeRevision, ProcessClock::now(), StateSource::Instance);
        changes.origin = mayBeStale ? StateOrigin::OldListing : StateOrigin::Listing;
        m_onChange(changes);
        if (const std::function<void()> onSuccess = std::exchange(m_onSuccess, {})) {
            onSuccess();
        }
    }

    StateKind m_kind;
    StoreCalls m_calls;
    StateListing<Protocol> m_listing;
    StateMirror &m_mirror;
    ChangeHandler m_onChange;
    std::function<void()> m_onSuccess;
    bool m_isReading = false;
    bool m_isReadingCurrent = false;
};

} // namespace Filbertmount
