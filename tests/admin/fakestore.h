#pragma once

#include <filbertmount/store/objectstore.h>

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Filbertmount {

/** An in-memory store with faults that can be set for the next reads and writes. */
class FakeStore
{
public:
    enum class WriteFault : std::uint8_t {
        None,
        /** The write takes effect, but its response is lost. */
        ResponseLost,
        /** The write has no effect, and the response is lost. */
        RequestLost,
        /** The response is lost; the write takes effect just before the next one, if its condition still holds. */
        Delayed,
        Refused,
    };

    std::deque<WriteFault> writeFaults;
    int failingReads = 0;
    int writes = 0;
    /** Runs once before the next write, for example to make a concurrent edit. */
    std::function<void()> beforeWrite;

    /** Runs once before the first read after the next write. */
    void runBeforeReadBack(std::function<void()> function)
    {
        m_beforeReadBack = std::move(function);
        m_written = false;
    }

    StoreReply read(const std::string &key)
    {
        if (m_written) {
            runOnce(m_beforeReadBack);
        }
        if (failingReads > 0) {
            --failingReads;
            return {.outcome = StoreOutcome::Unavailable, .reason = "store-read: fake: down"};
        }
        const auto found = m_objects.find(key);
        if (found == m_objects.end()) {
            return {.outcome = StoreOutcome::Absent, .time = {100}};
        }
        return {.outcome = StoreOutcome::Done, .object = found->second, .time = {100}};
    }

    StoreReply update(const std::string &key, const std::string &value, Revision expected)
    {
        ++writes;
        m_written = true;
        runOnce(beforeWrite);
        runOnce(m_delayed);
        const WriteFault fault = writeFaults.empty() ? WriteFault::None : writeFaults.front();
        if (!writeFaults.empty()) {
            writeFaults.pop_front();
        }
        const StoreReply lost{.outcome = StoreOutcome::Unknown, .reason = "store-write: fake: lost"};
        switch (fault) {
        case WriteFault::Refused:
            return {.outcome = StoreOutcome::Unavailable, .reason = "store-write: fake: refused"};
        case WriteFault::RequestLost:
            return lost;
        case WriteFault::Delayed:
            m_delayed = [this, key, value, expected]() {
                write(key, value, expected);
            };
            return lost;
        case WriteFault::ResponseLost:
            write(key, value, expected);
            return lost;
        case WriteFault::None:
            break;
        }
        return write(key, value, expected);
    }

    StoreListing list(const std::string & /*prefix*/)
    {
        return {};
    }

    StoreListing watch(const std::string & /*prefix*/, Revision /*after*/, Duration /*wait*/)
    {
        return {};
    }

    /** Writes without faults, like another instance. */
    StoreReply write(const std::string &key, const std::string &value, Revision expected)
    {
        const Revision current = m_objects[key].revision;
        if (current != expected) {
            return {.outcome = StoreOutcome::Conflict, .time = {100}, .reason = "store-write: fake: conflict"};
        }
        m_objects[key] = {.key = key, .value = value, .revision = Revision(++m_revision)};
        return {.outcome = StoreOutcome::Done, .object = m_objects[key], .time = {100}};
    }

private:
    static void runOnce(std::function<void()> &function)
    {
        const std::function<void()> once = std::move(function);
        function = {};
        if (once) {
            once();
        }
    }

    std::map<std::string, StoreObject> m_objects;
    std::uint64_t m_revision = 0;
    std::function<void()> m_delayed;
    std::function<void()> m_beforeReadBack;
    bool m_written = false;
};

} // namespace Filbertmount
