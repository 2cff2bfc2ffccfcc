#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace Filbertmount::StandIn {

/** The instance list of each service. A change becomes visible after a lag. Thread-safe. */
class InstanceTable
{
public:
    /**
     * Replaces the instance list of @p service after @p lag.
     *
     * @param list JSON text of the response to GET /instances
     */
    void set(const std::string &service, std::string list, absl::Duration lag);

    /** Returns the currently visible JSON text. */
    [[nodiscard]] std::string visibleList(const std::string &service);

private:
    struct PendingChange {
        absl::Time due;
        std::string list;
    };

    // Guards the members below. A std::mutex, because ThreadSanitizer does not recognise the locks of Debian's Abseil.
    std::mutex m_mutex;
    std::map<std::string, std::string> m_visible;
    std::map<std::string, std::deque<PendingChange>> m_pending;
};

} // namespace Filbertmount::StandIn
