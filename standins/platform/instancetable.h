#pragma once

#include <absl/time/time.h>

#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace Filbertmount::StandIn {

/** The list of instances of each service, which shows a change only after a lag. Thread-safe. */
class InstanceTable
{
public:
    /** @param list JSON text of the response, shown after @p lag */
    void set(const std::string &service, std::string list, absl::Duration lag);

    /** Returns the JSON text that is visible at present. */
    [[nodiscard]] std::string visible(const std::string &service);

private:
    struct Change {
        absl::Time due;
        std::string list;
    };

    // Guards the members below. ThreadSanitizer does not see the locks of Debian\'s Abseil, so it is a std::mutex.
    std::mutex m_mutex;
    std::map<std::string, std::string> m_visible;
    std::map<std::string, std::deque<Change>> m_pending;
};

} // namespace Filbertmount::StandIn
