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

/** A named value of a log line. */
struct LogField {
    std::string_view name;
    std::variant<std::string, std::int64_t, double, bool> value;
};

enum class LogOutput : std::uint8_t {
    StandardError,
    /** Never blocks and is bounded: lines that the reader is too slow for, or that exceed the rate, are counted instead. */
    StandardOutput,
};

struct LogOptions {
    LogLevel level = LogLevel::Info;
    /** Written to each line as "instance"; left out when empty. */
    std::string instance;
    /** Where lines go; fixed by the first call of setUpLog. */
    LogOutput output = LogOutput::StandardError;
};

/**
 * Writes log lines from now on. Before this call nothing is logged.
 * May be called again to change the options.
 */
void setUpLog(const LogOptions &options);

/** While it lives, log lines go to it instead of the output. For tests and programs that embed the library; one at a time. */
class LogCapture
{
public:
    explicit LogCapture(LogLevel level = LogLevel::Info);
    ~LogCapture();
    LogCapture(const LogCapture &) = delete;
    LogCapture &operator=(const LogCapture &) = delete;

    /** Lines since the start, without their times. */
    [[nodiscard]] std::vector<std::string> lines() const;
};

/**
 * Writes one JSON object on one line: "time" (UTC, microseconds), "level", "message", then @p fields.
 * Thread-safe.
 */
void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

/** Returns the JSON text of a log line without its time; separate from logLine for tests. */
std::string
logLineText(LogLevel level, std::string_view message, std::initializer_list<LogField> fields, std::string_view instance);

} // namespace Filbertmount
