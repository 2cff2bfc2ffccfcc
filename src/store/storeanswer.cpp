#include "store/storeanswer.h"

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

std::string reasonOf(const HttpAnswer &answer, Step step, const std::string &peer)
{
    if (answer.end == HttpAnswer::End::Answered) {
        return describe({.step = step, .peer = peer, .reason = "unexpected status " + std::to_string(answer.status)});
    }
    return describe({.step = step, .peer = peer, .reason = answer.reason});
}

std::string malformed(Step step, const std::string &peer, const std::string &what)
{
    return describe({.step = step, .peer = peer, .reason = "malformed response: " + what});
}

StoreTime storeTime(const HttpAnswer &answer)
{
    const std::time_t seconds = curl_getdate(answer.date.c_str(), nullptr);
    return {seconds > 0 ? static_cast<std::int64_t>(seconds) : 0};
}

// Whether the store said that it did not run the write.
bool refused(const HttpAnswer &answer)
{
    if (answer.end != HttpAnswer::End::Answered) {
        return answer.end == HttpAnswer::End::NotSent;
    }
    // 408 may come from a gateway that gave up waiting for the store.
    const bool clientError =
        answer.status >= HttpBadRequest && answer.status < HttpServerError && answer.status != HttpRequestTimeout;
    return clientError || (answer.status == HttpUnavailable && !answer.requestNotRun.empty());
}

bool written(const HttpAnswer &answer)
{
    return answer.end == HttpAnswer::End::Answered
        && (answer.status == HttpOk || answer.status == HttpCreated || answer.status == HttpNoContent);
}

// nlohmann-json converts a negative number to an unsigned one without an error.
std::uint64_t unsignedNumber(const nlohmann::json &json, const char *key)
{
    const nlohmann::json &number = json.at(key);
    if (!number.is_number_unsigned()) {
        throw std::invalid_argument(std::string(key) + " is no unsigned number");
    }
    return number.get<std::uint64_t>();
}

StoreObject parseObject(const nlohmann::json &json)
{
    StoreObject object{.key = json.at("key").get<std::string>(), .revision = Revision(unsignedNumber(json, "revision"))};
    if (!absl::Base64Unescape(json.at("value").get<std::string>(), &object.value)) {
        throw std::invalid_argument("a value is not base64");
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

StoreReply readReply(const HttpAnswer &answer, const std::string &key, const std::string &peer)
{
    StoreReply reply{.outcome = StoreOutcome::Unavailable, .time = storeTime(answer)};
    const bool answered = answer.end == HttpAnswer::End::Answered;
    if (!answered || (answer.status != HttpOk && answer.status != HttpNotFound)) {
        reply.reason = reasonOf(answer, Step::StoreRead, peer);
        return reply;
    }
    if (reply.time == StoreTime{}) {
        reply.reason = malformed(Step::StoreRead, peer, "no Date");
        return reply;
    }
    if (answer.status == HttpNotFound) {
        reply.outcome = StoreOutcome::Absent;
        return reply;
    }
    const std::optional<Revision> revision = parseEtag(answer.etag);
    if (!revision) {
        reply.reason = malformed(Step::StoreRead, peer, "no revision in ETag \"" + answer.etag + "\"");
        return reply;
    }
    reply.outcome = StoreOutcome::Done;
    reply.object = {.key = key, .value = answer.body, .revision = *revision};
    return reply;
}

StoreReply updateReply(const HttpAnswer &answer, const std::string &key, const std::string &peer)
{
    StoreReply reply{.outcome = StoreOutcome::Unknown, .time = storeTime(answer)};
    if (answer.end == HttpAnswer::End::Answered && answer.status == HttpPreconditionFailed) {
        reply.outcome = StoreOutcome::Conflict;
        reply.reason = describe({.step = Step::StoreWrite, .peer = peer, .reason = "the object has another revision"});
        return reply;
    }
    if (!written(answer)) {
        reply.outcome = refused(answer) ? StoreOutcome::Unavailable : StoreOutcome::Unknown;
        reply.reason = reasonOf(answer, Step::StoreWrite, peer);
        return reply;
    }
    const std::optional<Revision> revision = parseEtag(answer.etag);
    if (!revision || reply.time == StoreTime{}) {
        reply.reason = malformed(Step::StoreWrite, peer, revision ? "no Date" : "no revision in ETag \"" + answer.etag + "\"");
        return reply;
    }
    reply.outcome = StoreOutcome::Done;
    reply.object = {.key = key, .revision = *revision};
    return reply;
}

StoreListing listingReply(const HttpAnswer &answer, Step step, const std::string &peer)
{
    if (answer.end != HttpAnswer::End::Answered || answer.status != HttpOk) {
        return {.reason = reasonOf(answer, step, peer)};
    }
    try {
        return parseListing(nlohmann::json::parse(answer.body));
    } catch (const std::exception &error) {
        return {.reason = malformed(step, peer, error.what())};
    }
}

InstanceListing instancesReply(const HttpAnswer &answer, const std::string &peer)
{
    if (answer.end != HttpAnswer::End::Answered || answer.status != HttpOk) {
        return {.reason = reasonOf(answer, Step::StoreRead, peer)};
    }
    try {
        InstanceListing listing{.outcome = StoreOutcome::Done};
        const nlohmann::json json = nlohmann::json::parse(answer.body);
        for (const nlohmann::json &instance : json.at("instances")) {
            listing.instances.push_back(parseInstance(instance));
        }
        return listing;
    } catch (const std::exception &error) {
        return {.reason = malformed(Step::StoreRead, peer, error.what())};
    }
}

} // namespace Filbertmount
