#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Filbertmount {

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/** A field of a log line in addition to time, level, instance and message. */
struct LogField {
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

enum class LogOutput : std::uint8_t {
    StandardError,
    /** Never blocks: lines above the rate limit, or that a slow reader has no room for, are dropped and counted. */
    StandardOutput,
};

struct LogOptions {
    LogLevel level = LogLevel::Info;
    /** Value of the field "instance" of each line; omitted if empty. */
    std::string instance;
    /** Set by the first call of setUpLog(); later calls do not change it. */
    LogOutput output = LogOutput::StandardError;
};

/**
 * Starts logging; log lines before the first call are discarded.
 * May be called again to change the level and the instance.
 */
void setUpLog(const LogOptions &options);

/**
 * Captures log lines in memory instead of writing them to the output, for tests and programs that embed the library.
 * Only one may exist at a time.
 */
class LogCapture
{
public:
    explicit LogCapture(LogLevel level = LogLevel::Info);
    ~LogCapture();
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /** Returns the lines logged since construction, without their times. */
    [[nodiscard]] std::vector<std::string> lines() const;
};

/**
 * Writes one JSON object on one line: "time" (UTC, microseconds), "level", "instance", "message", then @p fields.
 * Thread-safe.
 */
void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

/** Returns the JSON text of a log line without its time. Used by LogCapture and tests. */
std::string
logLineText(LogLevel level, std::string_view message, std::initializer_list<LogField> fields, std::string_view instance);

} // namespace Filbertmount
