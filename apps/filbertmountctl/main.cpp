#include "admin/controlcommands.h"
#include "admin/documentfile.h"

#include <tclap/CmdLine.h>

#include <absl/strings/ascii.h>
#include <boost/leaf/handle_errors.hpp>

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>

namespace {

using namespace Filbertmount;

struct Arguments {
    std::string server;
    std::string tokenFile;
    std::string service;
    std::string request;
    std::uint64_t revision = 0;
    bool hasRevision = false;
    bool json = false;
    std::vector<std::string> positionals;
};

constexpr const char *Help =
    "Validates and applies service documents of filbertmount and reports on services.\n"
    "Commands: validate FILE | apply FILE [--revision N] | get SERVICE | list | history SERVICE | "
    "delete SERVICE --revision N | status SERVICE | timeline [--service NAME] [--request ID].\n"
    "The team's token comes from --token-file or the environment variable FILBERTMOUNT_TOKEN, never from the command line.\n"
    "Exit codes: 0 done, 1 usage, 2 invalid document, 3 conflict, 4 unavailable, 5 forbidden, 6 not found, "
    "7 outcome unknown, 8 incomplete report.";

std::string environment(const char *name)
{
    const char *value = std::getenv(name); // NOLINT(concurrency-mt-unsafe): there is only one thread.
    return value == nullptr ? std::string() : std::string(value);
}

Arguments parseArguments(int argc, char **argv)
{
    TCLAP::CmdLine line(Help, ' ', FILBERTMOUNT_VERSION);
    TCLAP::ValueArg<std::string> server(
        "s",
        "server",
        "administration address of one instance; default: environment variable FILBERTMOUNT_SERVER",
        false,
        "",
        "IP:port",
        line);
    TCLAP::ValueArg<std::string> tokenFile("", "token-file", "file that contains the team's token", false, "", "file", line);
    TCLAP::ValueArg<std::string> service("", "service", "timeline: only events of this service", false, "", "name", line);
    TCLAP::ValueArg<std::string> request(
        "", "request", "timeline: only events of the request with this id", false, "", "id", line);
    TCLAP::ValueArg<std::uint64_t> revision(
        "r", "revision", "revision that the change is based on; 0 for a new document", false, 0, "number", line);
    TCLAP::SwitchArg json("", "json", "machine-readable output", line);
    TCLAP::UnlabeledMultiArg<std::string> positionals("command", "command and its argument", true, "command", line);
    line.parse(argc, argv);
    return {.server = server.getValue().empty() ? environment("FILBERTMOUNT_SERVER") : server.getValue(),
            .tokenFile = tokenFile.getValue(),
            .service = service.getValue(),
            .request = request.getValue(),
            .revision = revision.getValue(),
            .hasRevision = revision.isSet(),
            .json = json.getValue(),
            .positionals = positionals.getValue()};
}

std::string readToken(const Arguments &arguments)
{
    if (arguments.tokenFile.empty()) {
        return environment("FILBERTMOUNT_TOKEN");
    }
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(text, readTextFile(arguments.tokenFile));
            return std::string(absl::StripAsciiWhitespace(text));
        },
        [](const Failure &failure) {
            std::cerr << describe(failure) << '\n';
            return std::string();
        },
        []() {
            return std::string();
        });
}

ExitCode usage(const std::string &problem)
{
    std::cerr << "filbertmountctl: " << problem << "; --help lists the commands\n";
    return ExitCode::Usage;
}

ExitCode runCommand(const Arguments &arguments, ControlCommands &commands)
{
    const std::string &command = arguments.positionals.front();
    const std::string argument = arguments.positionals.size() > 1 ? arguments.positionals[1] : std::string();
    const std::map<std::string, std::function<ExitCode()>> argumentCommands{
        {"apply",
         [&]() {
             return commands.apply(argument, arguments.hasRevision ? std::optional(Revision(arguments.revision)) : std::nullopt);
         }},
        {"get",
         [&]() {
             return commands.get(argument);
         }},
        {"history",
         [&]() {
             return commands.history(argument);
         }},
        {"status",
         [&]() {
             return commands.status(argument);
         }},
        {"delete",
         [&]() {
             return arguments.revision > 0 ? commands.remove(argument, Revision(arguments.revision))
                                           : usage("delete needs --revision with the revision of the document to delete");
         }},
    };
    if (command == "list" || command == "timeline") {
        return command == "list" ? commands.list() : commands.timeline(arguments.service, arguments.request);
    }
    const auto found = argumentCommands.find(command);
    if (found == argumentCommands.end()) {
        return usage("unknown command \"" + command + "\"");
    }
    return argument.empty() ? usage("\"" + command + "\" needs an argument, a file or a service name") : found->second();
}

ExitCode run(const Arguments &arguments)
{
    const ControlOutput output{.out = &std::cout, .err = &std::cerr, .json = arguments.json};
    // TCLAP passes an unknown option on as a positional argument.
    for (const std::string &positional : arguments.positionals) {
        if (!positional.empty() && positional.front() == '-') {
            return usage("unknown option \"" + positional + "\"");
        }
    }
    const bool oneArgument = arguments.positionals.size() == 2;
    if (arguments.positionals.front() == "validate") {
        return oneArgument ? validateFile(arguments.positionals[1], output)
                           : usage("validate needs exactly one argument, a file");
    }
    if (arguments.server.empty()) {
        return usage("no instance given, expected --server or FILBERTMOUNT_SERVER");
    }
    const std::string token = readToken(arguments);
    if (token.empty()) {
        return usage("no token given, expected --token-file or FILBERTMOUNT_TOKEN");
    }
    AdminClient client({.address = arguments.server, .token = token});
    ControlCommands commands(client, output);
    return runCommand(arguments, commands);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return static_cast<int>(run(parseArguments(argc, argv)));
    } catch (const std::exception &error) {
        std::cerr << "filbertmountctl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Unavailable);
    }
}
