#pragma once

#include "edge/ioloop.h"

#include <filbertmount/edge/edgesettings.h>

#include <filesystem>
#include <functional>
#include <string>

namespace Filbertmount {

/**
 * Reads the settings file again on request and when it has changed without one. Settings that cannot be used are logged and
 * leave those in force. Lives on the IoLoop.
 */
class SettingsReload
{
public:
    using Apply = std::function<void(const EdgeSettings &)>;

    static constexpr Duration CheckInterval = std::chrono::seconds(1);

    SettingsReload(IoLoop &loop, std::string file, Apply apply, Duration checkInterval = CheckInterval);

    void reload();

private:
    void checkFile();
    [[nodiscard]] std::filesystem::file_time_type lastWrite() const;

    std::string m_file;
    Apply m_apply;
    std::filesystem::file_time_type m_lastWrite;
    PeriodicTask m_ticker;
};

} // namespace Filbertmount
