#include "proxy/transfer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Filbertmount {

namespace {

// The head is forwarded to the caller, so it must fit into the connection memory of the caller server. Trailers count as well.
constexpr std::size_t MaxResponseHeadBytes = std::size_t{24} << 10U;

// Node.js and uvicorn close idle connections after 5 s. A request sent on a connection that is just being closed is lost.
constexpr long MaxIdleSeconds = 4;

constexpr std::size_t ErrorTextBytes = CURL_ERROR_SIZE;

long milliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::max<long>(1, static_cast<long>(count)); // curl takes 0 as no limit.
}

} // namespace

Transfer::Transfer(TransferRequest request, std::shared_ptr<TransferListener> listener)
    : m_request(std::move(request))
    , m_listener(std::move(listener))
    , m_errorText(ErrorTextBytes, '\0')
{
}

Transfer::~Transfer()
{
    curl_slist_free_all(m_headerLines);
}

void Transfer::prepare(CURL *easy)
{
    m_easy = easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, m_errorText.data());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + m_request.address + "/").c_str());
    curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, m_request.head.target.c_str());
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, m_request.freshConnection ? 1L : 0L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MaxIdleSeconds);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, milliseconds(m_request.connectTimeout));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, milliseconds(m_request.timeout));
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Transfer::beforeSending);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Transfer::readHeader);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Transfer::writeBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, this);
    prepareBody();
    prepareHeaders();
}

void Transfer::prepareBody()
{
    const RequestHead &head = m_request.head;
    const bool hasBody = !head.contentLength || *head.contentLength > 0;
    const bool statesLength = head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
    if (head.method == "HEAD" && !hasBody) {
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (hasBody || statesLength) {
        curl_easy_setopt(m_easy, CURLOPT_POST, 1L);
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(head.contentLength.value_or(-1)));
        curl_easy_setopt(m_easy, CURLOPT_READFUNCTION, &Transfer::readBody);
        curl_easy_setopt(m_easy, CURLOPT_READDATA, this);
    }
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, head.method.c_str());
}

void Transfer::prepareHeaders()
{
    const Headers &headers = m_request.head.headers;
    for (const Header &header : headers) {
        // curl sends a header without a value only when the line ends in a semicolon.
        addHeader(header.value.empty() ? header.name + ";" : header.name + ": " + header.value);
    }
    // A name without a value keeps curl from sending its default for this header.
    for (const char *name : {"Accept", "Content-Type", "User-Agent", "Expect"}) {
        if (findHeader(headers, name) == nullptr) {
            addHeader(std::string(name) + ":");
        }
    }
    if (!m_request.head.contentLength) {
        addHeader("Transfer-Encoding: chunked");
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerLines);
}

void Transfer::addHeader(const std::string &line)
{
    m_headerLines = curl_slist_append(m_headerLines, line.c_str());
}

int Transfer::beforeSending(void *self, char * /*toAddress*/, char * /*fromAddress*/, int /*toPort*/, int /*fromPort*/)
{
    Transfer &transfer = *static_cast<Transfer *>(self);
    if (transfer.m_sent) {
        // curl is about to resend the request because a reused connection was lost. The upstream may have run it already.
        transfer.m_resendBlocked = true;
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer.m_listener->beforeSend() != FlowControl::Continue) {
        transfer.m_cancelled = true;
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.m_sent = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t Transfer::readBody(char *buffer, std::size_t size, std::size_t count, void *self)
{
    Transfer &transfer = *static_cast<Transfer *>(self);
    const BodyReadResult read = transfer.m_listener->readRequestBody({buffer, size * count});
    if (read.control == FlowControl::Pause) {
        return CURL_READFUNC_PAUSE;
    }
    if (read.control == FlowControl::Cancel) {
        transfer.m_cancelled = true;
        return CURL_READFUNC_ABORT;
    }
    return read.size;
}

std::size_t Transfer::writeBody(char *data, std::size_t size, std::size_t count, void *self)
{
    Transfer &transfer = *static_cast<Transfer *>(self);
    const FlowControl control = transfer.m_listener->responseBodyReceived({data, size * count});
    if (control == FlowControl::Pause) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.m_cancelled = transfer.m_cancelled || control == FlowControl::Cancel;
    return control == FlowControl::Cancel ? 0 : size * count;
}

std::size_t Transfer::readHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    Transfer &transfer = *static_cast<Transfer *>(self);
    return transfer.parseHeaderLine({data, size * count}) ? size * count : 0;
}

bool Transfer::parseHeaderLine(std::string_view line)
{
    // libcurl keeps all lines of the head and of the trailers in memory.
    m_headBytes += line.size();
    if (m_headBytes > MaxResponseHeadBytes) {
        return false;
    }
    if (m_headComplete) {
        return true; // Trailers are not forwarded.
    }
    while (!line.empty() && (line.back() == '\r' || line.back() == '\n')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        return finishHead();
    }
    if (line.starts_with("HTTP/")) {
        m_head = {};
        return true;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    // libcurl lets these lines pass, and may have taken the length of the body from one.
    if (!isFieldName(name) || !isFieldValue(value)) {
        return false;
    }
    value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    m_head.headers.push_back({.name = std::string(name), .value = std::string(value)});
    return true;
}

bool Transfer::finishHead()
{
    long status = 0;
    curl_easy_getinfo(m_easy, CURLINFO_RESPONSE_CODE, &status);
    if (!isStatus(status)) {
        return false;
    }
    if (status >= 100 && status < 200) {
        return status != 101; // The proxy never requests an upgrade, so 101 is an error.
    }
    m_headComplete = true;
    m_head.status = static_cast<int>(status);
    if (const std::string *length = findHeader(m_head.headers, "Content-Length")) {
        m_head.contentLength = parseNumber(*length);
    }
    if (findHeader(m_head.headers, "Transfer-Encoding") != nullptr) {
        m_head.contentLength.reset();
    }
    m_cancelled = m_listener->responseHeadReceived(std::move(m_head)) == FlowControl::Cancel;
    return !m_cancelled;
}

TransferEnd Transfer::describeEnd(CURLcode code) const
{
    const auto resultOf = [&] {
        if (code == CURLE_OK) {
            return TransferResult::Complete;
        }
        if (m_cancelled) {
            return TransferResult::Cancelled;
        }
        if (m_resendBlocked) {
            return TransferResult::ConnectionLost;
        }
        if (!m_sent) {
            return TransferResult::NotConnected;
        }
        if (code == CURLE_OPERATION_TIMEDOUT) {
            return TransferResult::TimedOut;
        }
        const bool invalidResponse = code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_WEIRD_SERVER_REPLY
            || code == CURLE_WRITE_ERROR || code == CURLE_BAD_CONTENT_ENCODING;
        return invalidResponse ? TransferResult::InvalidResponse : TransferResult::ConnectionLost;
    };
    std::string reason = m_errorText.substr(0, m_errorText.find('\0'));
    if (reason.empty()) {
        reason = curl_easy_strerror(code);
    }
    if (m_resendBlocked) {
        reason = "the connection was lost before the response";
    }
    return {.result = resultOf(), .sent = m_sent, .reason = std::move(reason)};
}

void Transfer::notifySlow()
{
    if (m_listener != nullptr) {
        m_listener->transferSlow();
    }
}

void Transfer::end(CURLcode code)
{
    if (std::exchange(m_ended, true)) {
        return;
    }
    const TransferEnd end = describeEnd(code);
    m_easy = nullptr;
    // The listener may hold a TransferHandle to this transfer; releasing the listener breaks the reference cycle.
    const std::shared_ptr<TransferListener> listener = std::move(m_listener);
    listener->transferEnded(end);
}

void Transfer::finishCancelled()
{
    m_cancelled = true;
    end(CURLE_ABORTED_BY_CALLBACK);
}

} // namespace Filbertmount
