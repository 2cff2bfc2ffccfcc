#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <deque>
#include <map>
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

    absl::Mutex m_mutex;
    std::map<std::string, std::string> m_visible ABSL_GUARDED_BY(m_mutex);
    std::map<std::string, std::deque<Change>> m_pending ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount::StandIn
