#include "settings/settingschecks.h"

#include <filbertmount/types/endpoint.h>

#include <fstream>
#include <sstream>

namespace Filbertmount {

std::string checkEndpoint(const std::string &text)
{
    return parseEndpoint(text) ? std::string() : "\"IP:port\", not a host name";
}

std::string checkAdvertisedAddress(const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    return endpoint && !endpoint->wildcard() ? std::string() : "\"IP:port\" under which other instances reach this one";
}

std::string checkRemoteAddress(const std::string &text)
{
    const std::optional<Endpoint> endpoint = parseEndpoint(text);
    return endpoint && endpoint->port != 0 && !endpoint->wildcard() ? std::string() : "\"IP:port\" with a port above 0";
}

Result<std::string> readSettingsFile(const std::string &fileName)
{
    std::ifstream file(fileName);
    std::stringstream text;
    text << file.rdbuf();
    if (!file.good()) {
        return boost::leaf::new_error(Failure{.step = Step::ReadSettings, .peer = fileName, .reason = "the file cannot be read"});
    }
    return text.str();
}

} // namespace Filbertmount
