#include "admin/adminhandler.h"

#include <filbertmount/document/documentvalue.h>
#include <filbertmount/document/parseservicedocument.h>

#include "admin/adminjson.h"
#include "admin/adminresponses.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace Filbertmount {

namespace {

constexpr int HttpUnauthorized = 401;
constexpr int HttpForbidden = 403;
constexpr int HttpNotFound = 404;
constexpr int HttpMethodNotAllowed = 405;
constexpr int HttpUnprocessable = 422;
constexpr int HttpPreconditionRequired = 428;
constexpr int HttpBadGateway = 502;
constexpr int HttpUnavailable = 503;

const std::string ServicesPath = "/v1/services";
constexpr std::size_t MaxAuthorLength = 100;

BlockingResponse methodNotAllowed(const std::string &allowed)
{
    BlockingResponse response = problemResponse(HttpMethodNotAllowed, "the method must be one of: " + allowed);
    response.headers.emplace_back("Allow", allowed);
    return response;
}

// The author is recorded in the history but not authenticated; permissions depend on the token alone.
std::string authorOf(const BlockingRequest &request, const TeamName &team)
{
    const std::string author = request.header("filbertmount-author").substr(0, MaxAuthorLength);
    return author.empty() ? team.value() : author;
}

Result<ServiceDocument> parseForService(const std::string &text, const ServiceName &service)
{
    return parseServiceDocument(text, service.value() + ".toml");
}

/** Returns an error if a valid document names another service or team than the request, otherwise an empty string. */
std::string nameMismatch(const std::string &text, const ServiceName &service, const TeamName &team)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(document, parseForService(text, service));
            if (document.service != service) {
                return "the document names service \"" + document.service.value() + "\"";
            }
            return document.team == team ? std::string() : "the document names team \"" + document.team.value() + "\"";
        },
        []() {
            return std::string("the document is not valid");
        });
}

} // namespace

AdminHandler::AdminHandler(std::vector<TeamSettings> teams, AdminSources sources)
    : m_tokens(std::move(teams))
    , m_sources(std::move(sources))
{
}

void AdminHandler::setTeams(std::vector<TeamSettings> teams)
{
    m_tokens.setTeams(std::move(teams));
}

BlockingResponse AdminHandler::handle(const BlockingRequest &request) const
{
    if (request.path == "/healthz") {
        return jsonResponse({{"instance", m_sources.instance.value()}});
    }
    if (request.path == "/readyz") {
        return readiness();
    }
    if (request.path == "/metrics") {
        return {.contentType = "text/plain; version=0.0.4", .body = m_sources.metrics()};
    }
    const std::optional<TeamName> team = m_tokens.teamOf(request.header("authorization"));
    if (!team) {
        BlockingResponse response =
            problemResponse(HttpUnauthorized, "expected \"Authorization: Bearer\" with the token of a team");
        response.headers.emplace_back("WWW-Authenticate", "Bearer");
        return response;
    }
    return handleTeamRequest(request, *team);
}

BlockingResponse AdminHandler::handleTeamRequest(const BlockingRequest &request, const TeamName &team) const
{
    if (request.path == "/v1/validate") {
        return request.method == "POST" ? validate(request) : methodNotAllowed("POST");
    }
    if (absl::StartsWith(request.path, ServicesPath + "/")) {
        return handleService(request, team, request.path.substr(ServicesPath.size() + 1));
    }
    const bool list = request.path == ServicesPath;
    if (!list && request.path != "/v1/timeline") {
        return problemResponse(HttpNotFound, "unknown path");
    }
    if (request.method != "GET") {
        return methodNotAllowed("GET");
    }
    return list ? listServices() : timeline(request);
}

BlockingResponse
AdminHandler::handleService(const BlockingRequest &request, const TeamName &team, const std::string &subPath) const
{
    const std::size_t slash = subPath.find('/');
    const ServiceName service(subPath.substr(0, slash));
    const std::string subresource = slash == std::string::npos ? std::string() : subPath.substr(slash);
    if (!isServiceName(service.value()) || (!subresource.empty() && subresource != "/history" && subresource != "/status")) {
        return problemResponse(HttpNotFound, "unknown path");
    }
    if (request.method == "GET") {
        return subresource.empty() ? readDocument(service) : subresource == "/history" ? history(service) : status(service);
    }
    if (!subresource.empty() || (request.method != "PUT" && request.method != "DELETE")) {
        return methodNotAllowed(subresource.empty() ? "GET, PUT, DELETE" : "GET");
    }
    return changeDocument(request, team, service);
}

BlockingResponse AdminHandler::readiness() const
{
    const ReadinessReport report = m_sources.readiness();
    if (!report.ready) {
        return problemResponse(HttpUnavailable, report.reason);
    }
    return jsonResponse({{"instance", m_sources.instance.value()}});
}

BlockingResponse AdminHandler::listServices() const
{
    nlohmann::json json{{"instance", m_sources.instance.value()}, {"services", nlohmann::json::array()}};
    for (const DocumentReport &report : m_sources.documents()) {
        json["services"].push_back(toJson(report));
    }
    return jsonResponse(json);
}

BlockingResponse AdminHandler::timeline(const BlockingRequest &request) const
{
    std::uint64_t after = 0;
    const std::string text = request.parameter("after");
    if (!text.empty() && !absl::SimpleAtoi(text, &after)) {
        return problemResponse(HttpUnprocessable, "after: expected a sequence number, found \"" + text + "\"");
    }
    const std::string service = request.parameter("service");
    const std::string requestId = request.parameter("request");
    nlohmann::json json{{"instance", m_sources.instance.value()}, {"events", nlohmann::json::array()}};
    for (const Event &event : m_sources.events(after)) {
        if ((service.empty() || event.service == service) && (requestId.empty() || event.request == requestId)) {
            json["events"].push_back(toJson(event));
        }
    }
    return jsonResponse(json);
}

BlockingResponse AdminHandler::validate(const BlockingRequest &request) const
{
    const std::string name = request.parameter("file");
    if (std::optional<BlockingResponse> refusal = rejectInvalidDocument(request.body, name.empty() ? "document" : name)) {
        return *std::move(refusal);
    }
    return jsonResponse({{"valid", true}});
}

BlockingResponse AdminHandler::readDocument(const ServiceName &service) const
{
    if (!m_sources.readStoredDocument) {
        return readCachedDocument(service, "there is no store");
    }
    const StoreReply reply = m_sources.readStoredDocument(service);
    if (reply.outcome == StoreOutcome::Absent) {
        return problemResponse(HttpNotFound, "there is no document of service \"" + service.value() + "\"");
    }
    if (reply.outcome != StoreOutcome::Done) {
        return readCachedDocument(service, reply.reason);
    }
    return boost::leaf::try_handle_all(
        [&]() -> Result<BlockingResponse> {
            BOOST_LEAF_AUTO(value, decodeDocumentValue(reply.object.value, reply.object.key));
            if (value.deleted) {
                return problemResponse(HttpNotFound, "the document was deleted by " + value.author);
            }
            BlockingResponse response = jsonResponse({{"service", service.value()},
                                                      {"revision", reply.object.revision.value()},
                                                      {"team", value.team.value()},
                                                      {"author", value.author},
                                                      {"document", value.document}});
            response.headers.emplace_back("ETag", etagOf(reply.object.revision));
            response.headers.emplace_back("Filbertmount-Source", "store");
            return response;
        },
        [](const Failure &failure) {
            return problemResponse(HttpBadGateway, describe(failure));
        },
        []() {
            return problemResponse(HttpBadGateway, "the store's value cannot be read");
        });
}

BlockingResponse AdminHandler::readCachedDocument(const ServiceName &service, const std::string &reason) const
{
    const std::vector<DocumentReport> documents = m_sources.documents();
    const auto found = std::find_if(documents.begin(), documents.end(), [&](const DocumentReport &report) {
        return report.service == service;
    });
    if (found == documents.end()) {
        return problemResponse(HttpUnavailable,
                               "no document is in force at this instance, and none could be read from the store: " + reason);
    }
    nlohmann::json json = toJson(*found);
    json["document"] = found->text;
    BlockingResponse response = jsonResponse(json);
    response.headers.emplace_back("ETag", etagOf(found->revision));
    response.headers.emplace_back("Filbertmount-Source", "cache");
    return response;
}

BlockingResponse AdminHandler::history(const ServiceName &service) const
{
    if (!m_sources.readStoredDocument) {
        return problemResponse(HttpUnavailable, "there is no store");
    }
    const StoreReply reply = m_sources.readStoredDocument(service);
    if (reply.outcome == StoreOutcome::Absent) {
        return problemResponse(HttpNotFound, "there is no document of service \"" + service.value() + "\"");
    }
    if (reply.outcome != StoreOutcome::Done) {
        return problemResponse(HttpUnavailable, reply.reason);
    }
    return boost::leaf::try_handle_all(
        [&]() -> Result<BlockingResponse> {
            BOOST_LEAF_AUTO(value, decodeDocumentValue(reply.object.value, reply.object.key));
            return jsonResponse({{"service", service.value()}, {"changes", historyJson(value, reply.object.revision)}});
        },
        [](const Failure &failure) {
            return problemResponse(HttpBadGateway, describe(failure));
        },
        []() {
            return problemResponse(HttpBadGateway, "the store's value cannot be read");
        });
}

BlockingResponse AdminHandler::status(const ServiceName &service) const
{
    nlohmann::json json{{"instance", m_sources.instance.value()}, {"members", nlohmann::json::array()}};
    for (const MemberReport &member : m_sources.members()) {
        json["members"].push_back(toJson(member));
    }
    const std::optional<ServiceReport> report = m_sources.service(service);
    if (!report) {
        return problemResponse(
            HttpNotFound, "no document of service \"" + service.value() + "\" is in force at this instance", json);
    }
    json.update(toJson(*report));
    return jsonResponse(json);
}

BlockingResponse
AdminHandler::changeDocument(const BlockingRequest &request, const TeamName &team, const ServiceName &service) const
{
    const std::optional<Revision> expected = expectedRevision(request);
    const bool deleted = request.method == "DELETE";
    if (!expected || (deleted && *expected == AbsentRevision)) {
        return problemResponse(HttpPreconditionRequired,
                               "expected If-Match with the quoted revision that the change is based on, or If-None-Match: * "
                               "for a new document");
    }
    if (!deleted) {
        if (std::optional<BlockingResponse> refusal = rejectInvalidDocument(request.body, service.value() + ".toml")) {
            return *std::move(refusal);
        }
        const std::string reason = nameMismatch(request.body, service, team);
        if (!reason.empty()) {
            return problemResponse(
                HttpForbidden, reason + ", expected service \"" + service.value() + "\" and your team \"" + team.value() + "\"");
        }
    }
    return applyEdit({.service = service,
                      .team = team,
                      .author = authorOf(request, team),
                      .deleted = deleted,
                      .text = deleted ? std::string() : request.body,
                      .expected = *expected,
                      .changeId = randomChangeId()});
}

BlockingResponse AdminHandler::applyEdit(const DocumentEdit &edit) const
{
    if (!m_sources.edit) {
        return problemResponse(HttpUnavailable, "the change had no effect: there is no store");
    }
    const EditReply reply = m_sources.edit(edit);
    if (reply.outcome == EditOutcome::Accepted && !reply.value.empty() && m_sources.onAccepted) {
        m_sources.onAccepted(edit.service, reply.revision, reply.value);
    }
    return editResponse(edit, reply);
}

} // namespace Filbertmount
