#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

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

struct LogOptions {
    LogLevel level = LogLevel::Info;
    /** Written to each line as "instance"; left out when empty. */
    std::string instance;
};

/**
 * Sends log lines to standard error from now on. Before this call nothing is logged.
 * May be called again to change the options.
 */
void setUpLog(const LogOptions &options);

/**
 * Writes one JSON object on one line: "time" (UTC, microseconds), "level", "message", then @p fields.
 * Thread-safe.
 */
void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

/** Returns the JSON text of a log line without its time; separate from logLine for tests. */
std::string
logLineText(LogLevel level, std::string_view message, std::initializer_list<LogField> fields, std::string_view instance);

} // namespace Filbertmount
