#include "platformserver.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <nlohmann/json.hpp>

namespace Filbertmount::StandIn {

namespace {

constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr unsigned MaxConnections = 400;
const std::string ObjectsPath = "/objects/";

BlockingResponse textResponse(int status, const std::string &text)
{
    return {.status = status, .contentType = "text/plain", .body = text + "\n"};
}

std::string formatEtag(Revision revision)
{
    return "\"" + std::to_string(revision.value()) + "\"";
}

BlockingResponse listingResponse(const StoreListing &listing)
{
    nlohmann::json json{{"revision", listing.revision.value()}, {"objects", nlohmann::json::array()}};
    for (const StoreObject &object : listing.objects) {
        json["objects"].push_back(
            {{"key", object.key}, {"revision", object.revision.value()}, {"value", absl::Base64Escape(object.value)}});
    }
    return {.body = json.dump()};
}

std::optional<std::uint64_t> parseNumber(const std::string &text)
{
    std::uint64_t value = 0;
    return absl::SimpleAtoi(text, &value) ? std::optional(value) : std::nullopt;
}

std::string operationName(const BlockingRequest &request)
{
    if (request.path == "/watch") {
        return "watch";
    }
    if (request.path == "/instances") {
        return "instances";
    }
    if (request.path == "/objects") {
        return "list";
    }
    return request.method == "PUT" ? "write" : "read";
}

/** The precondition of a write, parsed from If-Match or If-None-Match. */
struct WriteCondition {
    /** Whether the header is well-formed. */
    bool valid = true;
    /** Revision that the object must have; std::nullopt without a condition. */
    std::optional<Revision> expected;
};

WriteCondition parseCondition(const BlockingRequest &request)
{
    if (request.header("if-none-match") == "*") {
        return {.expected = AbsentRevision};
    }
    const std::string match = request.header("if-match");
    if (match.empty()) {
        return {};
    }
    const bool quoted = match.size() > 2 && match.front() == '"' && match.back() == '"';
    const auto revision = quoted ? parseNumber(match.substr(1, match.size() - 2)) : std::nullopt;
    return revision ? WriteCondition{.expected = Revision(*revision)} : WriteCondition{.valid = false};
}

Faults parseFaults(const std::string &text)
{
    const nlohmann::json json = nlohmann::json::parse(text);
    return {.down = json.value("down", false),
            .slowMs = json.value("slow_ms", std::int64_t{0}),
            .loseResponses = json.value("lose_answers", std::int64_t{0}),
            .dropCalls = json.value("drop_calls", std::int64_t{0}),
            .listLagMs = json.value("list_lag_ms", std::int64_t{0})};
}

std::string formatFaults(const Faults &faults)
{
    return nlohmann::json{{"down", faults.down},
                          {"slow_ms", faults.slowMs},
                          {"lose_answers", faults.loseResponses},
                          {"drop_calls", faults.dropCalls},
                          {"list_lag_ms", faults.listLagMs}}
        .dump();
}

} // namespace

PlatformServer::PlatformServer(Endpoint address)
    : m_server({.address = std::move(address), .maxBodyBytes = MaxValueBytes, .maxConnections = MaxConnections},
               [this](const BlockingRequest &request) {
                   return handle(request);
               })
{
}

PlatformServer::~PlatformServer()
{
    stop();
}

Result<void> PlatformServer::start()
{
    return m_server.start();
}

void PlatformServer::stop()
{
    if (!m_stopping.HasBeenNotified()) {
        m_stopping.Notify();
    }
    m_objects.shutDown();
    m_server.stop();
}

std::string PlatformServer::address() const
{
    Endpoint endpoint = m_server.options().address;
    endpoint.port = m_server.port();
    return endpoint.text();
}

ObjectTable &PlatformServer::objects()
{
    return m_objects;
}

InstanceTable &PlatformServer::instances()
{
    return m_instances;
}

FaultInjector &PlatformServer::faults()
{
    return m_faults;
}

BlockingResponse PlatformServer::handle(const BlockingRequest &request)
{
    if (request.path == "/faults" || request.path == "/counters") {
        return handleControl(request);
    }
    if (request.path == "/instances" && request.method == "PUT") {
        return setInstances(request);
    }
    return handlePlatformCall(request);
}

BlockingResponse PlatformServer::handlePlatformCall(const BlockingRequest &request)
{
    m_faults.countCall(operationName(request));
    const Faults faults = m_faults.faults();
    if (faults.slowMs > 0) {
        m_stopping.WaitForNotificationWithTimeout(absl::Milliseconds(faults.slowMs));
    }
    if (m_faults.consumeDroppedCall()) {
        return {.closeConnection = true};
    }
    if (faults.down) {
        BlockingResponse response = textResponse(503, "the store is down");
        response.headers.emplace_back("Request-Not-Run", "shedding");
        return response;
    }
    return dispatch(request);
}

BlockingResponse PlatformServer::dispatch(const BlockingRequest &request)
{
    const bool object = absl::StartsWith(request.path, ObjectsPath) && request.path.size() > ObjectsPath.size();
    if (object && request.method == "PUT") {
        return writeObject(request.path.substr(ObjectsPath.size()), request);
    }
    if (request.method != "GET") {
        return textResponse(405, "only GET and PUT are supported");
    }
    if (object) {
        return readObject(request.path.substr(ObjectsPath.size()));
    }
    if (request.path == "/objects") {
        return listingResponse(m_objects.changes(request.parameter("prefix"), AbsentRevision));
    }
    if (request.path == "/watch") {
        return handleWatch(request);
    }
    if (request.path == "/instances") {
        return {.body = m_instances.visibleList(request.parameter("service"))};
    }
    return textResponse(404, "unknown path");
}

BlockingResponse PlatformServer::readObject(const std::string &key)
{
    const std::optional<StoreObject> object = m_objects.read(key);
    if (!object) {
        return textResponse(404, "the object does not exist");
    }
    return {
        .contentType = "application/octet-stream", .body = object->value, .headers = {{"ETag", formatEtag(object->revision)}}};
}

BlockingResponse PlatformServer::writeObject(const std::string &key, const BlockingRequest &request)
{
    const WriteCondition condition = parseCondition(request);
    if (!condition.valid) {
        return textResponse(400, "If-Match: expected a revision in double quotes");
    }
    const std::optional<Revision> revision = m_objects.update(key, request.body, condition.expected);
    if (!revision) {
        return textResponse(412, "the object does not have the expected revision");
    }
    if (m_faults.consumeLostResponse()) {
        return {.closeConnection = true};
    }
    return {.body = "{}", .headers = {{"ETag", formatEtag(*revision)}}};
}

BlockingResponse PlatformServer::handleWatch(const BlockingRequest &request)
{
    const auto after = parseNumber(request.parameter("after"));
    const auto waitMs = parseNumber(request.parameter("wait_ms"));
    if (!after || !waitMs) {
        return textResponse(400, "the query parameters after and wait_ms must be unsigned integers");
    }
    const absl::Duration wait = absl::Milliseconds(static_cast<std::int64_t>(*waitMs));
    return listingResponse(m_objects.waitForChanges(request.parameter("prefix"), Revision(*after), wait));
}

BlockingResponse PlatformServer::setInstances(const BlockingRequest &request)
{
    if (!nlohmann::json::accept(request.body) || request.parameter("service").empty()) {
        return textResponse(400, "expected the query parameter service and a JSON body");
    }
    m_instances.set(request.parameter("service"), request.body, absl::Milliseconds(m_faults.faults().listLagMs));
    return {.body = "{}"};
}

BlockingResponse PlatformServer::handleControl(const BlockingRequest &request)
{
    if (request.path == "/counters") {
        if (request.method == "DELETE") {
            m_faults.resetCallCounts();
        }
        return {.body = nlohmann::json(m_faults.callCounts()).dump()};
    }
    if (request.method == "PUT") {
        try {
            m_faults.set(parseFaults(request.body));
        } catch (const nlohmann::json::exception &error) {
            return textResponse(400, error.what());
        }
    }
    return {.body = formatFaults(m_faults.faults())};
}

} // namespace Filbertmount::StandIn
