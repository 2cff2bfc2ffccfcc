#include "store/curlclient.h"

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
    HttpAnswer answer;
    std::size_t maxAnswerBytes = 0;
    bool sent = false;
    bool repeatable = false;
    bool tooLong = false;
};

std::size_t receiveBody(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::size_t bytes = size * count;
    if (transfer->answer.body.size() + bytes > transfer->maxAnswerBytes) {
        transfer->tooLong = true;
        return 0;
    }
    transfer->answer.body.append(data, bytes);
    return bytes;
}

std::size_t receiveHeader(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *transfer = static_cast<Transfer *>(context);
    const std::string line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
        return line.size();
    }
    const std::string name = absl::AsciiStrToLower(line.substr(0, colon));
    const std::string value(absl::StripAsciiWhitespace(line.substr(colon + 1)));
    const std::array<std::pair<std::string_view, std::string *>, 4> kept{{{"etag", &transfer->answer.etag},
                                                                          {"date", &transfer->answer.date},
                                                                          {"request-not-run", &transfer->answer.requestNotRun},
                                                                          {"filbertmount-source", &transfer->answer.source}}};
    for (const auto &[wanted, target] : kept) {
        if (name == wanted) {
            *target = value;
        }
    }
    return line.size();
}

// Runs just before each transmission.
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

void setPolicy(CURL *handle)
{
    curl_easy_setopt(handle, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(handle, CURLOPT_FOLLOWLOCATION, 0L);
    // An empty proxy keeps libcurl from taking one from the environment.
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    // Timeouts must not use signals in a program with threads.
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

HttpAnswer finish(CURL *handle, CURLcode code, Transfer transfer)
{
    if (code != CURLE_OK) {
        const bool lost = transfer.sent;
        transfer.answer.reason = transfer.tooLong ? "the response is longer than allowed" : curl_easy_strerror(code);
        transfer.answer.end = lost ? HttpAnswer::End::Lost : HttpAnswer::End::NotSent;
        return std::move(transfer.answer);
    }
    long status = 0;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    transfer.answer.end = HttpAnswer::End::Answered;
    transfer.answer.status = static_cast<int>(status);
    return std::move(transfer.answer);
}

} // namespace

void CurlClient::HandleDeleter::operator()(CURL *handle) const
{
    curl_easy_cleanup(handle);
}

CurlClient::CurlClient()
{
    // Thread-safe and counted in libcurl 7.84 and later.
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

HttpAnswer CurlClient::perform(const HttpCall &call)
{
    Handle handle = takeHandle();
    if (!handle) {
        return {.end = HttpAnswer::End::NotSent, .reason = "libcurl gave no handle"};
    }
    Transfer transfer{.maxAnswerBytes = call.maxAnswerBytes, .repeatable = call.method == "GET"};
    const HeaderList headers = headerList(call);
    setRequest(handle.get(), call, headers);
    setPolicy(handle.get());
    setCallbacks(handle.get(), transfer);
    const CURLcode code = curl_easy_perform(handle.get());
    HttpAnswer answer = finish(handle.get(), code, std::move(transfer));
    // The handle keeps pointers to this call's data, so they are cleared; its connections stay open.
    curl_easy_reset(handle.get());
    giveBack(std::move(handle));
    return answer;
}

std::string CurlClient::escape(const std::string &text)
{
    const std::unique_ptr<char, decltype(&curl_free)> escaped(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    return escaped ? std::string(escaped.get()) : std::string();
}

CurlClient::Handle CurlClient::takeHandle()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_idle.empty()) {
            Handle handle = std::move(m_idle.back());
            m_idle.pop_back();
            return handle;
        }
    }
    return Handle(curl_easy_init());
}

void CurlClient::giveBack(Handle handle)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_idle.size() < MaxIdleHandles) {
        m_idle.push_back(std::move(handle));
    }
}

} // namespace Filbertmount
