#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <fstream>
#include <string>

namespace Filbertmount::StandIn {

/**
 * Appends one line "request-id idempotency-key method path" for each request that is run, with "-" for a missing value.
 * A line is flushed to the file before the work of its request starts, so that it survives a crash of the process.
 */
class ExecutionLog
{
public:
    /** @param path file to append to; empty disables the log */
    explicit ExecutionLog(const std::string &path);

    void
    record(const std::string &requestId, const std::string &idempotencyKey, const std::string &method, const std::string &path);

private:
    absl::Mutex m_mutex;
    std::ofstream m_file ABSL_GUARDED_BY(m_mutex);
};

} // namespace Filbertmount::StandIn
