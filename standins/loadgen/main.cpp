#include "loadreport.h"
#include "loadrunner.h"

#include <curl/curl.h>
#include <tclap/CmdLine.h>

#include <iostream>

using namespace Filbertmount;
using namespace Filbertmount::StandIn;

namespace {

Duration toDuration(double seconds)
{
    return Duration(static_cast<Duration::rep>(seconds * 1e9));
}

LoadOptions parseOptions(int argc, char **argv)
{
    TCLAP::CmdLine command(
        "Open-loop load generator; exits with status 2 if a guarantee to the callers was violated", ' ', FILBERTMOUNT_VERSION);
    const LoadOptions defaults;
    TCLAP::MultiArg<std::string> entries("", "entry", "IP:port of an entry instance; may be repeated", true, "IP:port", command);
    TCLAP::ValueArg<std::string> service("", "service", "value of the Host header", false, defaults.service, "name", command);
    TCLAP::ValueArg<double> rate("", "rate", "requests a second", false, defaults.rate, "count", command);
    TCLAP::ValueArg<double> seconds("", "seconds", "duration of the load", false, 10, "s", command);
    TCLAP::ValueArg<double> orders(
        "", "order-share", "share of the requests that are orders", false, defaults.orderShare, "share", command);
    TCLAP::ValueArg<std::string> read("", "read-path", "path of the reads", false, defaults.readPath, "path", command);
    TCLAP::ValueArg<std::string> order("", "order-path", "path of the orders", false, defaults.orderPath, "path", command);
    TCLAP::ValueArg<unsigned> bytes("", "answer-bytes", "size of a response", false, 2000, "bytes", command);
    TCLAP::ValueArg<int> resends(
        "", "resends", "maximum number of resends of one request", false, defaults.maxResends, "count", command);
    TCLAP::ValueArg<double> timeout("", "timeout", "timeout of one attempt", false, 10, "s", command);
    TCLAP::ValueArg<unsigned> seed("", "seed", "seed of the arrival times", false, 1, "number", command);
    TCLAP::MultiArg<std::string> logs(
        "", "execution-log", "execution log of an upstream; may be repeated", false, "file", command);
    TCLAP::SwitchArg json("", "json", "print one JSON object instead of a table", command);
    TCLAP::SwitchArg heading("", "heading", "print the heading of the table and exit", command);
    command.parse(argc, argv);
    if (heading.getValue()) {
        std::cout << formatHeading() << '\n';
        std::exit(0); // NOLINT(concurrency-mt-unsafe): no other thread runs yet.
    }
    LoadOptions options;
    options.entries = entries.getValue();
    options.service = service.getValue();
    options.rate = rate.getValue();
    options.duration = toDuration(seconds.getValue());
    options.orderShare = orders.getValue();
    options.readPath = read.getValue();
    options.orderPath = order.getValue();
    options.responseBytes = bytes.getValue();
    options.maxResends = resends.getValue();
    options.timeout = toDuration(timeout.getValue());
    options.seed = seed.getValue();
    options.executionLogs = logs.getValue();
    options.json = json.getValue();
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const LoadOptions options = parseOptions(argc, argv);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    LoadRunner runner(options);
    const std::vector<CallerRequest> requests = runner.run();
    const LoadReport report = summarizeLoad(options, requests, readExecutionLogs(options.executionLogs));
    std::cout << (options.json ? formatJson(report) : formatRow(report)) << '\n';
    constexpr int guaranteeViolated = 2;
    return report.guaranteesHeld() ? 0 : guaranteeViolated;
}
