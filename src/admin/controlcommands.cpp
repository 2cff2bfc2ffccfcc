#include "admin/controlcommands.h"

#include <filbertmount/document/configissue.h>
#include <filbertmount/document/parseservicedocument.h>

#include "admin/adminjson.h"
#include "admin/controlreports.h"
#include "admin/documentfile.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <functional>
#include <ostream>

namespace Filbertmount {

namespace {

constexpr int HttpOk = 200;

std::string servicePath(const std::string &service, const std::string &subresource = "")
{
    return "/v1/services/" + CurlClient::escape(service) + subresource;
}

ExitCode exitCodeOf(const AdminReply &reply, bool change)
{
    switch (reply.status) {
    case 401:
    case 403:
        return ExitCode::Forbidden;
    case 404:
        return ExitCode::NotFound;
    case 412:
        return ExitCode::Conflict;
    case 413:
    case 422:
        return ExitCode::InvalidDocument;
    case 504:
        return ExitCode::OutcomeUnknown;
    case 0:
    case 500:
        return change && reply.sent ? ExitCode::OutcomeUnknown : ExitCode::Unavailable;
    default:
        return ExitCode::Unavailable;
    }
}

std::string preconditionHeader(Revision baseRevision)
{
    return baseRevision == AbsentRevision ? "If-None-Match: *" : "If-Match: \"" + std::to_string(baseRevision.value()) + "\"";
}

void writeIssues(const ControlOutput &output, const ConfigIssues &issues)
{
    if (output.json) {
        *output.out << dumpJson({{"valid", false}, {"issues", toJson(issues)}}) << '\n';
        return;
    }
    *output.err << describe(issues) << '\n';
}

/** Parses a file including its revision line, which is a TOML comment, so that errors have the line numbers of the file. */
Result<ServiceDocument> parseFile(const std::string &fileName)
{
    BOOST_LEAF_AUTO(content, readTextFile(fileName));
    return parseServiceDocument(content, fileName);
}

template<class Function>
ExitCode reportFailures(const ControlOutput &output, Function function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<ExitCode> {
            return function();
        },
        [&](const Failure & /*failure*/, const ConfigIssues &issues) {
            writeIssues(output, issues);
            return ExitCode::InvalidDocument;
        },
        [&](const Failure &failure) {
            *output.err << describe(failure) << '\n';
            return ExitCode::Usage;
        },
        [&]() {
            *output.err << "unknown error\n";
            return ExitCode::Unavailable;
        });
}

/** Writes a report of the response of an instance. A malformed response is an error that names the instance. */
ExitCode writeReport(const ControlOutput &output, const std::string &peer, const std::function<std::string()> &report)
{
    try {
        *output.out << report();
        return ExitCode::Done;
    } catch (const nlohmann::json::exception &error) {
        const std::string reason = std::string("malformed response: ") + error.what();
        *output.err << describe({.step = Step::Administration, .peer = peer, .reason = reason}) << '\n';
        return ExitCode::Unavailable;
    }
}

std::vector<Event> eventsOf(const nlohmann::json &json)
{
    std::vector<Event> events;
    for (const nlohmann::json &event : json.at("events")) {
        events.push_back(eventFromJson(event));
    }
    return events;
}

} // namespace

ExitCode validateFile(const std::string &fileName, const ControlOutput &output)
{
    return reportFailures(output, [&]() -> Result<ExitCode> {
        BOOST_LEAF_AUTO(document, parseFile(fileName));
        if (output.json) {
            *output.out << dumpJson({{"valid", true}, {"service", document.service.value()}}) << '\n';
        } else {
            *output.out << fileName << ": valid document of service " << document.service << '\n';
        }
        return ExitCode::Done;
    });
}

ControlCommands::ControlCommands(AdminClient &client, ControlOutput output)
    : m_client(&client)
    , m_output(output)
{
}

ExitCode ControlCommands::apply(const std::string &fileName, std::optional<Revision> revision)
{
    return reportFailures(m_output, [&]() -> Result<ExitCode> {
        // Validated here before it is sent, so that errors name the operator's file and its lines.
        BOOST_LEAF_AUTO(document, parseFile(fileName));
        BOOST_LEAF_AUTO(content, readTextFile(fileName));
        const DocumentFile file = splitDocumentFile(content);
        const Revision baseRevision = revision.value_or(file.revision.value_or(AbsentRevision));
        const std::string service = document.service.value();
        const AdminReply reply = m_client->send("PUT", servicePath(service), file.text, preconditionHeader(baseRevision));
        if (reply.status == 412) {
            return reportConflict(reply, service, baseRevision);
        }
        if (reply.status != HttpOk) {
            return fail(reply, true);
        }
        if (m_output.json) {
            *m_output.out << dumpJson(reply.json) << '\n';
        } else {
            *m_output.out << service << ": accepted as revision " << reply.json.value("revision", std::uint64_t{0}) << '\n';
        }
        return ExitCode::Done;
    });
}

ExitCode ControlCommands::reportConflict(const AdminReply &reply, const std::string &service, Revision baseRevision)
{
    if (m_output.json) {
        *m_output.out << dumpJson(reply.json) << '\n';
    }
    std::ostream &err = *m_output.err;
    err << reply.error << '\n' << service << ": your change is based on ";
    if (baseRevision == AbsentRevision) {
        err << "no document";
    } else {
        err << "revision " << baseRevision;
    }
    err << ", the store has revision " << reply.json.value("revision", std::uint64_t{0}) << " by "
        << reply.json.value("author", std::string("?")) << ". Nothing was changed. Run \"filbertmountctl get " << service
        << "\", repeat your change in that file and apply it.\n";
    return ExitCode::Conflict;
}

ExitCode ControlCommands::get(const std::string &service)
{
    const AdminReply reply = m_client->get(servicePath(service));
    if (reply.status != HttpOk) {
        return fail(reply);
    }
    if (reply.source == "cache") {
        *m_output.err << "the store could not be reached: this is the document in force at " << m_client->address() << '\n';
    }
    if (m_output.json) {
        *m_output.out << dumpJson(reply.json) << '\n';
        return ExitCode::Done;
    }
    const Revision revision(reply.json.value("revision", std::uint64_t{0}));
    *m_output.out << joinDocumentFile(reply.json.value("document", std::string()), revision);
    return ExitCode::Done;
}

ExitCode ControlCommands::list()
{
    const AdminReply reply = m_client->get("/v1/services");
    if (reply.status != HttpOk) {
        return fail(reply);
    }
    return writeReport(m_output, m_client->address(), [&]() {
        return m_output.json ? dumpJson(reply.json) + "\n" : listReport(reply.json);
    });
}

ExitCode ControlCommands::history(const std::string &service)
{
    const AdminReply reply = m_client->get(servicePath(service, "/history"));
    if (reply.status != HttpOk) {
        return fail(reply);
    }
    return writeReport(m_output, m_client->address(), [&]() {
        return m_output.json ? dumpJson(reply.json) + "\n" : historyReport(reply.json);
    });
}

ExitCode ControlCommands::remove(const std::string &service, Revision revision)
{
    const AdminReply reply = m_client->send("DELETE", servicePath(service), "", preconditionHeader(revision));
    if (reply.status == 412) {
        return reportConflict(reply, service, revision);
    }
    if (reply.status != HttpOk) {
        return fail(reply, true);
    }
    *m_output.out << (m_output.json ? dumpJson(reply.json) : service + ": deleted") << '\n';
    return ExitCode::Done;
}

ExitCode ControlCommands::status(const std::string &service)
{
    const std::string path = servicePath(service, "/status");
    const AdminReply first = m_client->get(path);
    // An instance that does not know the service still lists the members in its error response.
    if (first.status != HttpOk && !first.json.contains("members")) {
        return fail(first);
    }
    std::vector<MemberStatus> members;
    bool anyResponded = false;
    bool allResponded = true;
    for (const std::string &address : memberAddresses(first.json)) {
        AdminReply reply = address == m_client->address() ? first : m_client->getFrom(address, path);
        const bool done = reply.status == HttpOk;
        anyResponded = anyResponded || done;
        allResponded = allResponded && done;
        members.push_back({.address = address, .status = done ? reply.json : nlohmann::json(), .error = reply.error});
    }
    const ExitCode written = writeReport(m_output, m_client->address(), [&]() {
        return m_output.json ? dumpJson(statusJson(members)) + "\n" : statusReport(members);
    });
    if (!anyResponded || written != ExitCode::Done) {
        return anyResponded ? written : fail(first);
    }
    return allResponded ? ExitCode::Done : ExitCode::Partial;
}

ExitCode ControlCommands::timeline(const std::string &service, const std::string &request)
{
    const std::string path = "/v1/timeline?service=" + CurlClient::escape(service) + "&request=" + CurlClient::escape(request);
    // The status response lists the members even if the service is unknown.
    const AdminReply members = m_client->get(servicePath(service.empty() ? "none" : service, "/status"));
    if (!members.json.contains("members")) {
        return fail(members);
    }
    ExitCode code = ExitCode::Done;
    std::vector<std::vector<Event>> events;
    for (const std::string &address : memberAddresses(members.json)) {
        const AdminReply reply = m_client->getFrom(address, path);
        try {
            events.push_back(eventsOf(reply.json));
        } catch (const nlohmann::json::exception &error) {
            *m_output.err << (reply.error.empty() ? "administration: " + address + ": " + error.what() : reply.error) << '\n';
            code = ExitCode::Partial;
        }
    }
    const std::vector<Event> merged = mergeTimelines(std::move(events));
    if (!m_output.json) {
        *m_output.out << timelineReport(merged);
        return code;
    }
    nlohmann::json json{{"events", nlohmann::json::array()}};
    for (const Event &event : merged) {
        json["events"].push_back(toJson(event));
    }
    *m_output.out << dumpJson(json) << '\n';
    return code;
}

ExitCode ControlCommands::fail(const AdminReply &reply, bool change)
{
    const ExitCode code = exitCodeOf(reply, change);
    if (m_output.json && reply.json.is_object()) {
        *m_output.out << dumpJson(reply.json) << '\n';
    }
    *m_output.err << reply.error << '\n';
    if (code == ExitCode::OutcomeUnknown) {
        *m_output.err << "The change may have taken effect. Check the history before you repeat it.\n";
    }
    return code;
}

std::vector<std::string> ControlCommands::memberAddresses(const nlohmann::json &status) const
{
    std::vector<std::string> addresses{m_client->address()};
    for (const nlohmann::json &member : status.value("members", nlohmann::json::array())) {
        const std::string address = member.value("admin_address", std::string());
        if (!address.empty() && std::find(addresses.begin(), addresses.end(), address) == addresses.end()) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

} // namespace Filbertmount
