#include "admin/controlreports.h"

#include <absl/time/time.h>

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace Filbertmount {

namespace {

using Row = std::vector<std::string>;

std::string formatTable(const std::vector<Row> &rows)
{
    std::vector<std::size_t> widths;
    for (const Row &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::ostringstream text;
    for (const Row &row : rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            const bool last = column + 1 == row.size();
            text << std::left << std::setw(last ? 0 : static_cast<int>(widths[column] + 2)) << row[column];
        }
        text << '\n';
    }
    return text.str();
}

std::string formatTime(std::int64_t microseconds)
{
    return absl::FormatTime("%Y-%m-%dT%H:%M:%E6SZ", absl::FromUnixMicros(microseconds), absl::UTCTimeZone());
}

std::string formatNumber(double number)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << number;
    return text.str();
}

std::string limitSummary(const nlohmann::json &limits)
{
    std::string text;
    for (const auto &[name, hits] : limits.items()) {
        if (hits.get<std::uint64_t>() > 0) {
            text.append(text.empty() ? "" : " ").append(name).append("=").append(std::to_string(hits.get<std::uint64_t>()));
        }
    }
    return text.empty() ? "-" : text;
}

std::string upstreamSummary(const nlohmann::json &upstreams)
{
    std::map<std::string, int> states;
    for (const nlohmann::json &upstream : upstreams) {
        ++states[upstream.at("state").get<std::string>()];
    }
    std::string text;
    for (const auto &[state, count] : states) {
        text.append(text.empty() ? "" : " ").append(state).append("=").append(std::to_string(count));
    }
    return text.empty() ? "none" : text;
}

Row memberRow(const MemberStatus &member)
{
    if (member.status.is_null()) {
        return {"?", member.address, "-", "no status: " + member.error};
    }
    try {
        const nlohmann::json &status = member.status;
        const nlohmann::json &measuring = status.at("measuring");
        return {status.at("instance").get<std::string>(),
                member.address,
                std::to_string(status.at("revision").get<std::uint64_t>()),
                upstreamSummary(status.at("upstreams")),
                limitSummary(status.at("limits")),
                formatNumber(measuring.at("spent_ms").get<double>()) + "/"
                    + formatNumber(measuring.at("allowed_ms").get<double>())};
    } catch (const nlohmann::json::exception &error) {
        return {"?", member.address, "-", std::string("malformed status: ") + error.what()};
    }
}

// Rows for the upstreams that are not live at every instance that reports them.
std::vector<Row> upstreamRows(const std::vector<MemberStatus> &members)
{
    std::map<std::string, std::map<std::string, int>> states;
    for (const MemberStatus &member : members) {
        for (const nlohmann::json &upstream : member.status.value("upstreams", nlohmann::json::array())) {
            const std::string name = upstream.value("id", "?") + " " + upstream.value("address", "?");
            ++states[name][upstream.value("state", "?")];
        }
    }
    std::vector<Row> rows;
    for (const auto &[name, counts] : states) {
        std::string text;
        for (const auto &[state, count] : counts) {
            text.append(text.empty() ? "" : ", ").append(state).append(" at ").append(std::to_string(count));
        }
        if (counts.size() > 1 || counts.begin()->first != "live") {
            rows.push_back({name, text});
        }
    }
    return rows;
}

std::string remarks(const std::vector<MemberStatus> &members)
{
    std::string text;
    for (const MemberStatus &member : members) {
        for (const nlohmann::json &remark : member.status.value("remarks", nlohmann::json::array())) {
            text += "remark of " + member.status.value("instance", "?") + ": " + remark.get<std::string>() + "\n";
        }
    }
    return text;
}

} // namespace

std::string statusReport(const std::vector<MemberStatus> &members)
{
    std::vector<Row> rows{{"INSTANCE", "ADDRESS", "REVISION", "UPSTREAMS", "LIMITS HIT", "PROBING MS SPENT/ALLOWED"}};
    std::vector<MemberStatus> responding;
    std::map<std::string, int> revisions;
    for (const MemberStatus &member : members) {
        rows.push_back(memberRow(member));
        if (member.status.is_object()) {
            responding.push_back(member);
            ++revisions[rows.back().at(2)];
        }
    }
    std::string text = formatTable(rows);
    if (revisions.size() > 1) {
        text += "\nThe instances run " + std::to_string(revisions.size()) + " different revisions.\n";
    }
    const std::vector<Row> upstreams = upstreamRows(responding);
    if (!upstreams.empty()) {
        text += "\nUpstreams that are not live everywhere:\n" + formatTable(upstreams);
    }
    return text + remarks(responding);
}

nlohmann::json statusJson(const std::vector<MemberStatus> &members)
{
    nlohmann::json json = nlohmann::json::array();
    for (const MemberStatus &member : members) {
        if (member.status.is_null()) {
            json.push_back({{"address", member.address}, {"error", member.error}});
        } else {
            json.push_back({{"address", member.address}, {"status", member.status}});
        }
    }
    return {{"members", json}};
}

std::string timelineReport(const std::vector<Event> &events)
{
    std::vector<Row> rows;
    rows.reserve(events.size());
    for (const Event &event : events) {
        rows.push_back({formatTime(event.wallTimeUs),
                        event.instance,
                        event.kind,
                        event.service.empty() ? "-" : event.service,
                        event.request.empty() ? "-" : event.request,
                        event.text});
    }
    return formatTable(rows);
}

std::string historyReport(const nlohmann::json &history)
{
    std::vector<Row> rows{{"REVISION", "FROM", "TIME", "AUTHOR", "CHANGE"}};
    for (const nlohmann::json &change : history.at("changes")) {
        rows.push_back({std::to_string(change.at("revision").get<std::uint64_t>()),
                        std::to_string(change.at("predecessor").get<std::uint64_t>()),
                        formatTime(change.at("time").get<std::int64_t>() * 1'000'000),
                        change.at("author").get<std::string>(),
                        change.at("deleted").get<bool>() ? "deleted" : "written"});
    }
    return formatTable(rows);
}

std::string listReport(const nlohmann::json &services)
{
    std::vector<Row> rows{{"SERVICE", "TEAM", "REVISION"}};
    for (const nlohmann::json &service : services.at("services")) {
        rows.push_back({service.at("service").get<std::string>(),
                        service.at("team").get<std::string>(),
                        std::to_string(service.at("revision").get<std::uint64_t>())});
    }
    return formatTable(rows);
}

} // namespace Filbertmount
