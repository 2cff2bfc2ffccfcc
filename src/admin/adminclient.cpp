#include "admin/adminclient.h"

#include <filbertmount/types/failure.h>

namespace Filbertmount {

namespace {

constexpr int HttpOk = 200;

std::string detailOf(const HttpResponse &response, const nlohmann::json &json)
{
    if (json.is_object() && json.contains("detail") && json["detail"].is_string()) {
        return json["detail"].get<std::string>();
    }
    return "unexpected response with status " + std::to_string(response.status);
}

} // namespace

AdminClient::AdminClient(AdminClientOptions options)
    : m_options(std::move(options))
{
}

AdminReply AdminClient::get(const std::string &path)
{
    return getFrom(m_options.address, path);
}

AdminReply AdminClient::getFrom(const std::string &address, const std::string &path)
{
    return perform(address, {.method = "GET", .url = path});
}

AdminReply
AdminClient::send(const std::string &method, const std::string &path, const std::string &body, const std::string &precondition)
{
    HttpCall call{.method = method, .url = path, .body = body};
    if (!precondition.empty()) {
        call.headers.push_back(precondition);
    }
    return perform(m_options.address, std::move(call));
}

const std::string &AdminClient::address() const
{
    return m_options.address;
}

AdminReply AdminClient::perform(const std::string &address, HttpCall call)
{
    call.url = "http://" + address + call.url;
    call.timeout = m_options.timeout;
    call.headers.push_back("Authorization: Bearer " + m_options.token);
    const HttpResponse response = m_client.perform(call);
    Failure failure{.step = Step::Administration, .peer = address, .reason = response.reason};
    if (response.outcome != HttpResponse::Outcome::Complete) {
        failure.step = response.outcome == HttpResponse::Outcome::NotSent ? Step::Connect : Step::ReadAnswer;
        return {.sent = response.outcome == HttpResponse::Outcome::Lost, .error = describe(failure)};
    }
    AdminReply reply{.status = response.status, .sent = true, .source = response.source};
    reply.json = nlohmann::json::parse(response.body, nullptr, false);
    if (response.status == HttpOk && reply.json.is_object()) {
        return reply;
    }
    failure.reason = detailOf(response, reply.json);
    reply.error = describe(failure);
    // A body that is not a JSON object is an error, even with status 200.
    reply.status = response.status == HttpOk ? 0 : response.status;
    return reply;
}

} // namespace Filbertmount
