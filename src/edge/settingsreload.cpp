#include "edge/settingsreload.h"

#include <filbertmount/telemetry/log.h>

#include <boost/leaf/handle_errors.hpp>

#include <system_error>

namespace Filbertmount {

SettingsReload::SettingsReload(IoLoop &loop, std::string file, Apply apply, Duration checkInterval)
    : m_file(std::move(file))
    , m_apply(std::move(apply))
    , m_lastWrite(lastWrite())
    , m_checkTask(loop, checkInterval, [this] {
        checkFile();
    })
{
}

std::filesystem::file_time_type SettingsReload::lastWrite() const
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(m_file, error);
    // A file that is missing while it is being replaced is read at a later check.
    return error ? m_lastWrite : time;
}

void SettingsReload::checkFile()
{
    if (lastWrite() != m_lastWrite) {
        reload();
    }
}

void SettingsReload::reload()
{
    m_lastWrite = lastWrite();
    boost::leaf::try_handle_all(
        [this]() -> Result<void> {
            BOOST_LEAF_AUTO(settings, readEdgeSettings(m_file));
            m_apply(settings);
            logLine(LogLevel::Info, "settings read again", {{.name = "file", .value = m_file}});
            return {};
        },
        [](const Failure &failure) {
            logLine(LogLevel::Error, "the settings in force stay", {{.name = "error", .value = describe(failure)}});
        },
        [] {
            logLine(LogLevel::Error, "the settings in force stay", {{.name = "error", .value = std::string("unknown")}});
        });
}

} // namespace Filbertmount
