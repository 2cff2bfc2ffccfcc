#pragma once

#include "edge/storecalls.h"

#include <functional>
#include <iterator>
#include <string>
#include <utility>

namespace Filbertmount {

/** Reads all objects of one kind from the store, page by page. Runs on the IoLoop. */
template<StoreProtocol Protocol>
class StateListing
{
public:
    /** Receives all objects with the revision of the first page, or the error of the page that failed. */
    using Handler = std::function<void(StoreResult<StatePage>)>;

    struct Options {
        StateKind kind = StateKind::Routes;
        Duration callTimeout{0};
    };

    /** @param calls outlives this object */
    StateListing(StoreCalls &calls, Protocol protocol, Options options)
        : m_calls(calls)
        , m_protocol(std::move(protocol))
        , m_options(options)
    {
    }

    /**
     * Starts a new listing; one in progress must be cancelled first by StoreCalls::cancel().
     * @param mayBeStale accepts a response that may be seconds old; such a call costs less
     */
    void read(bool mayBeStale, Handler handler)
    {
        m_mayBeStale = mayBeStale;
        m_handler = std::move(handler);
        m_listed = StatePage();
        readPage(std::string());
    }

private:
    void readPage(const std::string &after)
    {
        m_calls.call(m_protocol.listRequest(m_options.kind, after, m_mayBeStale),
                     "list",
                     m_options.callTimeout,
                     [this](const CallResult &result) {
                         onPage(result.parse([this](int status, const std::string &body, StoreEra era) {
                             return m_protocol.parsePage(m_options.kind, status, body, era);
                         }));
                     });
    }

    void onPage(StoreResult<StatePage> result)
    {
        auto *page = std::get_if<StatePage>(&result);
        if (page == nullptr) {
            finish(std::move(result));
            return;
        }
        if (m_listed.storeRevision != Revision() && m_listed.storeRevision.era() != page->storeRevision.era()) {
            // The store has returned from an older copy since the first page.
            m_listed = StatePage();
            readPage(std::string());
            return;
        }
        if (m_listed.storeRevision == Revision()) {
            // A watch from the first page's revision also returns changes that happen while the later pages are read.
            m_listed.storeRevision = page->storeRevision;
        }
        std::move(page->objects.begin(), page->objects.end(), std::back_inserter(m_listed.objects));
        m_listed.unidentified += page->unidentified;
        if (page->nextAfter) {
            readPage(*page->nextAfter);
            return;
        }
        finish(std::exchange(m_listed, {}));
    }

    void finish(StoreResult<StatePage> result)
    {
        const Handler handler = std::exchange(m_handler, nullptr);
        handler(std::move(result));
    }

    StoreCalls &m_calls;
    Protocol m_protocol;
    Options m_options;
    bool m_mayBeStale = false;
    Handler m_handler;
    StatePage m_listed;
};

} // namespace Filbertmount
