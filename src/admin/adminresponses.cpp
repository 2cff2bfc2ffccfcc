#include "admin/adminresponses.h"

#include <filbertmount/document/parseservicedocument.h>

#include "admin/adminjson.h"
#include "store/storeresponse.h"

#include <boost/leaf/handle_errors.hpp>

namespace Filbertmount {

namespace {

constexpr int HttpForbidden = 403;
constexpr int HttpNotFound = 404;
constexpr int HttpPreconditionFailed = 412;
constexpr int HttpUnprocessable = 422;
constexpr int HttpBadGateway = 502;
constexpr int HttpUnavailable = 503;
constexpr int HttpGatewayTimeout = 504;

int statusOf(EditOutcome outcome)
{
    switch (outcome) {
    case EditOutcome::Accepted:
        return 200;
    case EditOutcome::Conflict:
        return HttpPreconditionFailed;
    case EditOutcome::Forbidden:
        return HttpForbidden;
    case EditOutcome::NotFound:
        return HttpNotFound;
    case EditOutcome::Damaged:
        return HttpBadGateway;
    case EditOutcome::Unavailable:
        return HttpUnavailable;
    case EditOutcome::Unknown:
        return HttpGatewayTimeout;
    }
    return HttpBadGateway;
}

} // namespace

BlockingResponse jsonResponse(const nlohmann::json &json)
{
    return {.body = dumpJson(json) + "\n"};
}

BlockingResponse problemResponse(int status, const std::string &detail, const nlohmann::json &extraMembers)
{
    nlohmann::json json{{"status", status}, {"detail", detail}};
    json.update(extraMembers);
    return {.status = status, .contentType = "application/problem+json", .body = dumpJson(json) + "\n"};
}

BlockingResponse editResponse(const DocumentEdit &edit, const EditReply &reply)
{
    if (reply.outcome == EditOutcome::Accepted) {
        BlockingResponse response =
            jsonResponse({{"service", edit.service.value()}, {"revision", reply.revision.value()}, {"change_id", edit.changeId}});
        response.headers.emplace_back("ETag", etagOf(reply.revision));
        return response;
    }
    nlohmann::json extraMembers{{"service", edit.service.value()}};
    if (reply.outcome == EditOutcome::Conflict) {
        extraMembers.update({{"revision", reply.revision.value()}, {"author", reply.author}});
    }
    if (reply.outcome == EditOutcome::Unknown) {
        extraMembers["change_id"] = edit.changeId;
        return problemResponse(statusOf(reply.outcome), "the change may have taken effect: " + reply.reason, extraMembers);
    }
    return problemResponse(statusOf(reply.outcome), "the change had no effect: " + reply.reason, extraMembers);
}

std::optional<Revision> expectedRevision(const BlockingRequest &request)
{
    const std::string match = request.header("if-match");
    const std::string noneMatch = request.header("if-none-match");
    if (match.empty() == noneMatch.empty()) {
        return std::nullopt;
    }
    if (!noneMatch.empty()) {
        return noneMatch == "*" ? std::optional(AbsentRevision) : std::nullopt;
    }
    return parseEtag(match);
}

std::optional<BlockingResponse> rejectInvalidDocument(const std::string &text, const std::string &fileName)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<std::optional<BlockingResponse>> {
            BOOST_LEAF_CHECK(parseServiceDocument(text, fileName));
            return std::optional<BlockingResponse>();
        },
        [](const Failure &failure, const ConfigIssues &issues) -> std::optional<BlockingResponse> {
            return problemResponse(HttpUnprocessable, failure.reason, {{"issues", toJson(issues)}});
        },
        []() -> std::optional<BlockingResponse> {
            return problemResponse(HttpUnprocessable, "the document cannot be parsed");
        });
}

std::string etagOf(Revision revision)
{
    std::string tag(1, '"');
    tag.append(std::to_string(revision.value())).append(1, '"');
    return tag;
}

} // namespace Filbertmount
