#include "store/storeresponse.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <curl/curl.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <stdexcept>

namespace Filbertmount {

namespace {

constexpr int HttpOk = 200;
constexpr int HttpCreated = 201;
constexpr int HttpNoContent = 204;
constexpr int HttpBadRequest = 400;
constexpr int HttpNotFound = 404;
constexpr int HttpRequestTimeout = 408;
constexpr int HttpPreconditionFailed = 412;
constexpr int HttpServerError = 500;
constexpr int HttpUnavailable = 503;

std::string failureReason(const HttpResponse &response, Step step, const std::string &peer)
{
    if (response.outcome == HttpResponse::Outcome::Complete) {
        return describe({.step = step, .peer = peer, .reason = "unexpected status " + std::to_string(response.status)});
    }
    return describe({.step = step, .peer = peer, .reason = response.reason});
}

std::string malformedReason(Step step, const std::string &peer, const std::string &what)
{
    return describe({.step = step, .peer = peer, .reason = "malformed response: " + what});
}

StoreTime storeTime(const HttpResponse &response)
{
    const std::time_t seconds = curl_getdate(response.date.c_str(), nullptr);
    return {seconds > 0 ? static_cast<std::int64_t>(seconds) : 0};
}

// Whether it is certain that the write had no effect: it was not sent, or the store refused it.
bool hadNoEffect(const HttpResponse &response)
{
    if (response.outcome != HttpResponse::Outcome::Complete) {
        return response.outcome == HttpResponse::Outcome::NotSent;
    }
    // A 408 may come from a gateway that timed out waiting for the store, which may still run the write.
    const bool clientError =
        response.status >= HttpBadRequest && response.status < HttpServerError && response.status != HttpRequestTimeout;
    return clientError || (response.status == HttpUnavailable && !response.requestNotRun.empty());
}

bool wasWritten(const HttpResponse &response)
{
    return response.outcome == HttpResponse::Outcome::Complete
        && (response.status == HttpOk || response.status == HttpCreated || response.status == HttpNoContent);
}

// Checked explicitly, since nlohmann-json converts negative numbers to unsigned types without an error.
std::uint64_t unsignedNumber(const nlohmann::json &json, const char *key)
{
    const nlohmann::json &number = json.at(key);
    if (!number.is_number_unsigned()) {
        throw std::invalid_argument(std::string(key) + " is not an unsigned integer");
    }
    return number.get<std::uint64_t>();
}

StoreObject parseObject(const nlohmann::json &json)
{
    StoreObject object{.key = json.at("key").get<std::string>(), .revision = Revision(unsignedNumber(json, "revision"))};
    if (!absl::Base64Unescape(json.at("value").get<std::string>(), &object.value)) {
        throw std::invalid_argument("the value of an object is not valid base64");
    }
    return object;
}

ListedInstance parseInstance(const nlohmann::json &json)
{
    const auto state = json.at("state").get<std::string>();
    if (state != "live" && state != "leaving") {
        throw std::invalid_argument("unknown instance state \"" + state + "\"");
    }
    return {.id = json.at("id").get<std::string>(),
            .address = json.at("address").get<std::string>(),
            .zone = AvailabilityZone(json.at("zone").get<std::string>()),
            .state = state == "live" ? ListedState::Live : ListedState::Leaving,
            .incarnation = Incarnation(unsignedNumber(json, "incarnation"))};
}

StoreListing parseListing(const nlohmann::json &json)
{
    StoreListing listing{.outcome = StoreOutcome::Done, .revision = Revision(unsignedNumber(json, "revision"))};
    for (const nlohmann::json &object : json.at("objects")) {
        listing.objects.push_back(parseObject(object));
    }
    return listing;
}

} // namespace

std::optional<Revision> parseEtag(const std::string &text)
{
    if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    std::uint64_t number = 0;
    const char *end = text.data() + text.size() - 1;
    const auto parsed = std::from_chars(text.data() + 1, end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number == 0) {
        return std::nullopt;
    }
    return Revision(number);
}

StoreReply interpretReadResponse(const HttpResponse &response, const std::string &key, const std::string &peer)
{
    StoreReply reply{.outcome = StoreOutcome::Unavailable, .time = storeTime(response)};
    const bool isComplete = response.outcome == HttpResponse::Outcome::Complete;
    if (!isComplete || (response.status != HttpOk && response.status != HttpNotFound)) {
        reply.reason = failureReason(response, Step::StoreRead, peer);
        return reply;
    }
    if (reply.time == StoreTime{}) {
        reply.reason = malformedReason(Step::StoreRead, peer, "no valid Date header");
        return reply;
    }
    if (response.status == HttpNotFound) {
        reply.outcome = StoreOutcome::Absent;
        return reply;
    }
    const std::optional<Revision> revision = parseEtag(response.etag);
    if (!revision) {
        reply.reason = malformedReason(Step::StoreRead, peer, "no revision in ETag \"" + response.etag + "\"");
        return reply;
    }
    reply.outcome = StoreOutcome::Done;
    reply.object = {.key = key, .value = response.body, .revision = *revision};
    return reply;
}

StoreReply interpretUpdateResponse(const HttpResponse &response, const std::string &key, const std::string &peer)
{
    StoreReply reply{.outcome = StoreOutcome::Unknown, .time = storeTime(response)};
    if (response.outcome == HttpResponse::Outcome::Complete && response.status == HttpPreconditionFailed) {
        reply.outcome = StoreOutcome::Conflict;
        reply.reason =
            describe({.step = Step::StoreWrite, .peer = peer, .reason = "the revision of the object is not the expected one"});
        return reply;
    }
    if (!wasWritten(response)) {
        reply.outcome = hadNoEffect(response) ? StoreOutcome::Unavailable : StoreOutcome::Unknown;
        reply.reason = failureReason(response, Step::StoreWrite, peer);
        return reply;
    }
    const std::optional<Revision> revision = parseEtag(response.etag);
    if (!revision || reply.time == StoreTime{}) {
        reply.reason = malformedReason(
            Step::StoreWrite, peer, revision ? "no valid Date header" : "no revision in ETag \"" + response.etag + "\"");
        return reply;
    }
    reply.outcome = StoreOutcome::Done;
    reply.object = {.key = key, .revision = *revision};
    return reply;
}

StoreListing interpretListingResponse(const HttpResponse &response, Step step, const std::string &peer)
{
    if (response.outcome != HttpResponse::Outcome::Complete || response.status != HttpOk) {
        return {.reason = failureReason(response, step, peer)};
    }
    try {
        return parseListing(nlohmann::json::parse(response.body));
    } catch (const std::exception &error) {
        return {.reason = malformedReason(step, peer, error.what())};
    }
}

InstanceListing interpretInstancesResponse(const HttpResponse &response, const std::string &peer)
{
    if (response.outcome != HttpResponse::Outcome::Complete || response.status != HttpOk) {
        return {.reason = failureReason(response, Step::StoreRead, peer)};
    }
    try {
        InstanceListing listing{.outcome = StoreOutcome::Done};
        const nlohmann::json json = nlohmann::json::parse(response.body);
        for (const nlohmann::json &instance : json.at("instances")) {
            listing.instances.push_back(parseInstance(instance));
        }
        return listing;
    } catch (const std::exception &error) {
        return {.reason = malformedReason(Step::StoreRead, peer, error.what())};
    }
}

} // namespace Filbertmount
