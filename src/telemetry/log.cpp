#include <filbertmount/telemetry/log.h>

#include "telemetry/boundedlogbackend.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>

#include <unistd.h>

#include <atomic>
#include <iostream>

namespace Filbertmount {

namespace {

template<class Backend>
void addSink(boost::shared_ptr<Backend> backend)
{
    auto sink = boost::make_shared<boost::log::sinks::synchronous_sink<Backend>>(std::move(backend));
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

std::atomic<bool> sinkInstalled{false};
std::atomic<LogLevel> minimumLevel{LogLevel::Info};

absl::Mutex &optionsMutex()
{
    static absl::Mutex mutex;
    return mutex;
}

/** Lines of the existing LogCapture; guarded by optionsMutex(). */
std::vector<std::string> &capturedLines()
{
    static std::vector<std::string> lines;
    return lines;
}

std::atomic<bool> isCapturing{false};

std::string &instanceName()
{
    static std::string name;
    return name;
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "unknown";
}

nlohmann::ordered_json lineObject(LogLevel level, std::string_view message, std::string_view instance)
{
    nlohmann::ordered_json line;
    line["level"] = levelName(level);
    if (!instance.empty()) {
        line["instance"] = instance;
    }
    line["message"] = message;
    return line;
}

// Text from the network may not be valid UTF-8; invalid bytes are replaced, because dump() would otherwise throw.
std::string serialize(const nlohmann::ordered_json &line)
{
    return line.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

void addFields(nlohmann::ordered_json &line, std::initializer_list<LogField> fields)
{
    for (const LogField &field : fields) {
        std::visit(
            [&](const auto &value) {
                line[std::string(field.name)] = value;
            },
            field.value);
    }
}

} // namespace

void setUpLog(const LogOptions &options)
{
    minimumLevel = options.level;
    {
        const absl::MutexLock lock(&optionsMutex());
        instanceName() = options.instance;
    }
    if (sinkInstalled.exchange(true)) {
        return;
    }
    if (options.output == LogOutput::StandardOutput) {
        addSink(boost::make_shared<BoundedLogBackend>(STDOUT_FILENO));
        return;
    }
    auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cerr, boost::null_deleter()));
    backend->auto_flush(true);
    addSink(std::move(backend));
}

std::string
logLineText(LogLevel level, std::string_view message, std::initializer_list<LogField> fields, std::string_view instance)
{
    nlohmann::ordered_json line = lineObject(level, message, instance);
    addFields(line, fields);
    return serialize(line);
}

LogCapture::LogCapture(LogLevel level)
{
    const absl::MutexLock lock(&optionsMutex());
    capturedLines().clear();
    minimumLevel = level;
    isCapturing = true;
}

LogCapture::~LogCapture()
{
    isCapturing = false;
}

std::vector<std::string> LogCapture::lines() const
{
    const absl::MutexLock lock(&optionsMutex());
    return capturedLines();
}

void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    if (isCapturing && level >= minimumLevel.load()) {
        const std::string text = logLineText(level, message, fields, std::string_view());
        const absl::MutexLock lock(&optionsMutex());
        capturedLines().push_back(text);
        return;
    }
    if (!sinkInstalled || level < minimumLevel.load()) {
        return;
    }
    std::string instance;
    {
        const absl::MutexLock lock(&optionsMutex());
        instance = instanceName();
    }
    nlohmann::ordered_json line;
    line["time"] = absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::Now(), absl::UTCTimeZone());
    line.update(lineObject(level, message, instance));
    addFields(line, fields);
    static boost::log::sources::logger_mt logger;
    BOOST_LOG(logger) << serialize(line);
}

} // namespace Filbertmount
