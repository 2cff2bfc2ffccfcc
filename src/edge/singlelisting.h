#pragma once

#include "edge/statelisting.h"

#include <filbertmount/edge/statemirror.h>
#include <filbertmount/telemetry/log.h>

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace Filbertmount {

/**
 * Lists one kind of the store's objects once, on an instance that is not a reader. Runs on the IoLoop.
 *
 * At process start, the listing lets an instance serve before it has found the others. It may then be seconds old: all
 * instances of a fleet list when they start together, and a call that accepts an old response costs a tenth of one that requests
 * the current state. The digests of the readers reveal what is outdated. Only a route set with accounts is read again at once,
 * so that no key is accepted that was removed meanwhile. If the call fails, the state comes from the other instances.
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
        , m_calls(loop, options.store, metrics, kind)
        , m_listing(m_calls, std::move(protocol), {.kind = kind, .callTimeout = options.callTimeout})
        , m_mirror(mirror)
        , m_onChange(std::move(onChange))
    {
    }

    void read(bool mayBeStale)
    {
        m_calls.cancel();
        startListing(mayBeStale);
    }

private:
    void startListing(bool mayBeStale)
    {
        m_listing.read(mayBeStale, [this, mayBeStale](StoreResult<StatePage> result) {
            onListed(std::move(result), mayBeStale);
        });
    }

    /** Whether @p listed contains accounts and nothing newer is known. */
    [[nodiscard]] bool wouldAdmitAccounts(const StatePage &listed) const
    {
        return !m_mirror.routes() && std::any_of(listed.objects.begin(), listed.objects.end(), [](const StateObject &object) {
            const auto *routes = std::get_if<RouteSet>(&object.value);
            return routes != nullptr && routes->requiresKey;
        });
    }

    void onListed(StoreResult<StatePage> result, bool mayBeStale)
    {
        if (const auto *error = std::get_if<StoreError>(&result)) {
            logLine(LogLevel::Info,
                    "a single listing failed; asking other instances",
                    {{.name = "kind", .value = std::string(stateKindName(m_kind))},
                     {.name = "problem", .value = std::string(storeProblemName(error->problem))},
                     {.name = "reason", .value = error->reason}});
            return;
        }
        auto &listed = std::get<StatePage>(result);
        if (mayBeStale && wouldAdmitAccounts(listed)) {
            // A key that a configuration of some seconds ago contains may have been removed since.
            startListing(false);
            return;
        }
        MirrorChanges changes = m_mirror.applyListing(
            m_kind, std::move(listed.objects), listed.storeRevision, ProcessClock::now(), StateSource::Instance);
        changes.origin = mayBeStale ? StateOrigin::OldListing : StateOrigin::Listing;
        m_onChange(changes);
    }

    StateKind m_kind;
    StoreCalls m_calls;
    StateListing<Protocol> m_listing;
    StateMirror &m_mirror;
    ChangeHandler m_onChange;
};

} // namespace Filbertmount
