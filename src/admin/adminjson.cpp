#include "admin/adminjson.h"

namespace Filbertmount {

namespace {

nlohmann::json upstreamJson(const UpstreamReport &upstream)
{
    return {{"id", upstream.id},
            {"address", upstream.address},
            {"zone", upstream.zone},
            {"state", upstream.state},
            {"slots", upstream.slots},
            {"in_flight", upstream.inFlight}};
}

nlohmann::json measuringJson(const MeasuringReport &measuring)
{
    return {{"budget_percent", measuring.budgetPercent},
            {"allowed_ms", measuring.allowedMs},
            {"spent_ms", measuring.spentMs},
            {"probes", measuring.probes}};
}

} // namespace

nlohmann::json toJson(const DocumentReport &report)
{
    return {{"service", report.service.value()}, {"team", report.team.value()}, {"revision", report.revision.value()}};
}

nlohmann::json toJson(const ServiceReport &report)
{
    nlohmann::json json{{"service", report.service.value()},
                        {"revision", report.revision.value()},
                        {"upstreams", nlohmann::json::array()},
                        {"limits", nlohmann::json::object()},
                        {"measuring", measuringJson(report.measuring)},
                        {"remarks", report.remarks}};
    for (const UpstreamReport &upstream : report.upstreams) {
        json["upstreams"].push_back(upstreamJson(upstream));
    }
    for (const LimitReport &limit : report.limits) {
        json["limits"][limit.name] = limit.hits;
    }
    return json;
}

nlohmann::json toJson(const MemberReport &report)
{
    return {{"instance", report.instance.value()},
            {"admin_address", report.adminAddress},
            {"zone", report.zone},
            {"region", report.region},
            {"state", report.state}};
}

nlohmann::json toJson(const Event &event)
{
    return {{"time_us", event.wallTimeUs},
            {"sequence", event.sequence},
            {"instance", event.instance},
            {"kind", event.kind},
            {"service", event.service},
            {"request", event.request},
            {"text", event.text}};
}

nlohmann::json toJson(const ConfigIssues &issues)
{
    nlohmann::json json = nlohmann::json::array();
    for (const ConfigIssue &issue : issues.list) {
        json.push_back({{"file", issue.file}, {"line", issue.line}, {"key", issue.key}, {"problem", issue.problem}});
    }
    return json;
}

nlohmann::json historyJson(const DocumentValue &value, Revision revision)
{
    nlohmann::json json = nlohmann::json::array();
    for (std::size_t index = 0; index < value.history.size(); ++index) {
        const DocumentChange &change = value.history[index];
        const bool last = index + 1 == value.history.size();
        const Revision changeRevision = last ? revision : value.history[index + 1].predecessor;
        json.push_back({{"revision", changeRevision.value()},
                        {"predecessor", change.predecessor.value()},
                        {"author", change.author},
                        {"time", change.time.seconds},
                        {"change_id", change.changeId},
                        {"deleted", change.deleted},
                        {"document", change.text}});
    }
    return json;
}

Event eventFromJson(const nlohmann::json &json)
{
    return {.wallTimeUs = json.at("time_us").get<std::int64_t>(),
            .sequence = json.at("sequence").get<std::uint64_t>(),
            .instance = json.at("instance").get<std::string>(),
            .kind = json.at("kind").get<std::string>(),
            .service = json.at("service").get<std::string>(),
            .request = json.at("request").get<std::string>(),
            .text = json.at("text").get<std::string>()};
}

std::string dumpJson(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace Filbertmount
