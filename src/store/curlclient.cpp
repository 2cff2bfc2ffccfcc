#include "store/curlclient.h"

#include <filbertmount/proxy/httpmessage.h>

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>

namespace Filbertmount {

namespace {

constexpr std::size_t MaxIdleHandles = 16;

struct HeaderListDeleter {
    void operator()(curl_slist *list) const
    {
        curl_slist_free_all(list);
    }
};
using HeaderList = std::unique_ptr<curl_slist, HeaderListDeleter>;

struct Transfer {
    HttpResponse response;
    std::size_t maxResponseBytes = 0;
    bool sent = false;
    bool repeatable = false;
    bool tooLong = false;
};

std::size_t receiveBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::size_t bytes = size * count;
    if (transfer->response.body.size() + bytes > transfer->maxResponseBytes) {
        transfer->tooLong = true;
        return 0;
    }
    transfer->response.body.append(data, bytes);
    return bytes;
}

std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (line.starts_with("HTTP/") || colon == std::string::npos) {
        return line.size();
    }
    const std::string name = absl::AsciiStrToLower(line.substr(0, colon));
    const std::string value(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    // libcurl lets these lines pass, and may have taken the length of the body from one.
    if (!isFieldName(name) || !isFieldValue(value)) {
        return 0;
    }
    const std::array<std::pair<std::string_view, std::string *>, 4> recordedHeaders{
        {{"etag", &transfer->response.etag},
         {"date", &transfer->response.date},
         {"request-not-run", &transfer->response.requestNotRun},
         {"filbertmount-source", &transfer->response.source}}};
    for (const auto &[headerName, target] : recordedHeaders) {
        if (name == headerName) {
            *target = value;
        }
    }
    return line.size();
}

// Called by libcurl before each transmission, including a repeated one on a new connection.
int beforeTransmission(void *context, char * /*remoteIp*/, char * /*localIp*/, int /*remotePort*/, int /*localPort*/)
{
    auto *transfer = static_cast<Transfer *>(context);
    if (transfer->sent && !transfer->repeatable) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer->sent = true;
    return CURL_PREREQFUNC_OK;
}

HeaderList headerList(const HttpCall &call)
{
    // An empty Expect header keeps libcurl from waiting for "100 Continue" before a larger body.
    curl_slist *list = curl_slist_append(nullptr, "Expect:");
    for (const std::string &header : call.headers) {
        list = curl_slist_append(list, header.c_str());
    }
    return HeaderList(list);
}

void setRequest(CURL *handle, const HttpCall &call, const HeaderList &headers)
{
    curl_easy_setopt(handle, CURLOPT_URL, call.url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    if (call.method != "GET") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call.body.size()));
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
    }
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(call.timeout).count();
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, std::max(1L, static_cast<long>(timeout)));
}

void setConnectionOptions(CURL *handle)
{
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    // An empty proxy keeps libcurl from taking one from the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // Signals for timeouts are unsafe in a multithreaded program.
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
}

void setCallbacks(CURL *handle, Transfer &transfer)
{
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &receiveBody);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, &receiveHeader);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, &transfer);
    curl_easy_setopt(handle, CURLOPT_PREREQFUNCTION, &beforeTransmission);
    curl_easy_setopt(handle, CURLOPT_PREREQDATA, &transfer);
}

HttpResponse finishTransfer(CURL *handle, CURLcode code, Transfer transfer)
{
    if (code != CURLE_OK) {
        const bool lost = transfer.sent;
        transfer.response.reason = transfer.tooLong ? "the response exceeds the size limit" : curl_easy_strerror(code);
        transfer.response.outcome = lost ? HttpResponse::Outcome::Lost : HttpResponse::Outcome::NotSent;
        return std::move(transfer.response);
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    if (!isStatus(status)) {
        transfer.response.reason = "the status of the response is not a number from 100 to 599";
        transfer.response.outcome = HttpResponse::Outcome::Lost;
        return std::move(transfer.response);
    }
    transfer.response.outcome = HttpResponse::Outcome::Complete;
    transfer.response.status = static_cast<int>(status);
    return std::move(transfer.response);
}

} // namespace

void CurlClient::HandleDeleter::operator()(CURL *handle) const
{
    curl_easy_cleanup(handle);
}

CurlClient::CurlClient()
{
    // Thread-safe since libcurl 7.84; repeated calls are counted.
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

HttpResponse CurlClient::perform(const HttpCall &call)
{
    Handle handle = acquireHandle();
    if (!handle) {
        return {.outcome = HttpResponse::Outcome::NotSent, .reason = "libcurl could not create a handle"};
    }
    Transfer transfer{.maxResponseBytes = call.maxResponseBytes, .repeatable = call.method == "GET"};
    const HeaderList headers = headerList(call);
    setRequest(handle.get(), call, headers);
    setConnectionOptions(handle.get());
    setCallbacks(handle.get(), transfer);
    const CURLcode code = curl_easy_perform(handle.get());
    HttpResponse response = finishTransfer(handle.get(), code, std::move(transfer));
    // Clears the handle's pointers to data of this call; its connections stay open.
    curl_easy_reset(handle.get());
    releaseHandle(std::move(handle));
    return response;
}

std::string CurlClient::escape(const std::string &text)
{
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return escaped ? std::string(escaped.get()) : std::string();
}

CurlClient::Handle CurlClient::acquireHandle()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_idleHandles.empty()) {
            Handle handle = std::move(m_idleHandles.back());
            m_idleHandles.pop_back();
            return handle;
        }
    }
    return Handle(curl_easy_init());
}

void CurlClient::releaseHandle(Handle handle)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idleHandles.size() < MaxIdleHandles) {
        m_idleHandles.push_back(std::move(handle));
    }
}

} // namespace Filbertmount
