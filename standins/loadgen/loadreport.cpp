#include "loadreport.h"

#include <absl/strings/str_format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace Filbertmount::StandIn {

namespace {

double percentile(const std::vector<double> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void countOutcome(LoadReport &report, const CallerRequest &request)
{
    switch (request.outcome) {
    case CallerOutcome::Answered:
        ++report.answered;
        return;
    case CallerOutcome::NotRun:
        ++report.refused;
        return;
    case CallerOutcome::MayHaveRun:
    case CallerOutcome::ServerError:
        ++report.unknown;
        return;
    case CallerOutcome::WrongResponse:
        ++report.wrongResponses;
        return;
    case CallerOutcome::NoResponse:
    case CallerOutcome::Pending:
        ++report.lost;
        return;
    }
}

void checkExecutions(LoadReport &report, const CallerRequest &request, const ExecutionCounts &counts)
{
    const auto found = counts.find(request.id);
    const int runs = found == counts.end() ? 0 : found->second;
    report.doubled += runs > 1 ? 1 : 0;
    report.falseNotRun += request.alwaysNotRun && runs > 0 ? 1 : 0;
    report.lost += request.outcome == CallerOutcome::Answered && runs == 0 ? 1 : 0;
}

} // namespace

ExecutionCounts readExecutionLogs(const std::vector<std::string> &files)
{
    ExecutionCounts counts;
    for (const std::string &file : files) {
        std::ifstream stream(file);
        std::string line;
        while (std::getline(stream, line)) {
            std::istringstream words(line);
            std::string id;
            words >> id;
            ++counts[id];
        }
    }
    return counts;
}

bool LoadReport::guaranteesHeld() const
{
    return requests > 0 && lost == 0 && doubled == 0 && falseNotRun == 0 && wrongResponses == 0;
}

LoadReport summarizeLoad(const LoadOptions &options, const std::vector<CallerRequest> &requests, const ExecutionCounts &counts)
{
    LoadReport report;
    report.service = options.service;
    std::vector<double> latencies;
    for (const CallerRequest &request : requests) {
        ++report.requests;
        report.resent += request.attempts - 1;
        countOutcome(report, request);
        if (request.outcome == CallerOutcome::Answered) {
            latencies.push_back(std::chrono::duration<double, std::milli>(request.ended - request.due).count());
        }
        if (!request.order) {
            continue;
        }
        ++report.orders;
        if (!options.executionLogs.empty()) {
            checkExecutions(report, request, counts);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    report.p50Ms = percentile(latencies, 0.5);
    report.p99Ms = percentile(latencies, 0.99);
    report.p999Ms = percentile(latencies, 0.999);
    return report;
}

std::string formatHeading()
{
    return absl::StrFormat("%-14s %9s %7s %8s %8s %9s %8s %8s %8s %5s %8s %10s %6s",
                           "service",
                           "requests",
                           "orders",
                           "p50 ms",
                           "p99 ms",
                           "p99.9 ms",
                           "resent",
                           "refused",
                           "unknown",
                           "lost",
                           "doubled",
                           "falsely-not",
                           "wrong");
}

std::string formatRow(const LoadReport &report)
{
    return absl::StrFormat("%-14s %9d %7d %8.2f %8.2f %9.2f %8d %8d %8d %5d %8d %10d %6d",
                           report.service,
                           report.requests,
                           report.orders,
                           report.p50Ms,
                           report.p99Ms,
                           report.p999Ms,
                           report.resent,
                           report.refused,
                           report.unknown,
                           report.lost,
                           report.doubled,
                           report.falseNotRun,
                           report.wrongResponses);
}

std::string formatJson(const LoadReport &report)
{
    const nlohmann::ordered_json object{{"service", report.service},
                                        {"requests", report.requests},
                                        {"orders", report.orders},
                                        {"answered", report.answered},
                                        {"refused", report.refused},
                                        {"unknown", report.unknown},
                                        {"resent", report.resent},
                                        {"lost", report.lost},
                                        {"doubled", report.doubled},
                                        {"false_not_run", report.falseNotRun},
                                        {"wrong_answers", report.wrongResponses},
                                        {"p50_ms", report.p50Ms},
                                        {"p99_ms", report.p99Ms},
                                        {"p999_ms", report.p999Ms}};
    return object.dump();
}

} // namespace Filbertmount::StandIn
