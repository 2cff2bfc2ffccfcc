#pragma once

#include "edge/ioloop.h"

#include <filbertmount/edge/edgesettings.h>

#include <filesystem>
#include <functional>
#include <string>

namespace Filbertmount {

/**
 * Reloads the settings file on request and whenever its modification time changes. Invalid settings are logged, and the
 * current ones stay in use. Runs on the IoLoop.
 */
class SettingsReload
{
public:
    using Apply = std::function<void(const EdgeSettings &)>;

    static constexpr Duration CheckInterval = std::chrono::seconds(1);

    SettingsReload(IoLoop &loop, std::string file, Apply apply, Duration checkInterval = CheckInterval);

    /** Reads the file and applies it if it is valid. */
    void reload();

private:
    void checkFile();
    [[nodiscard]] std::filesystem::file_time_type lastWrite() const;

    std::string m_file;
    Apply m_apply;
    std::filesystem::file_time_type m_lastWrite;
    PeriodicTask m_checkTask;
};

} // namespace Filbertmount
