#pragma once

#include <filbertmount/proxy/upstreamclient.h>

#include <curl/curl.h>

#include <memory>

namespace Filbertmount {

/** One curl easy handle with the request that it sends. Used by the worker thread only. */
class Transfer
{
public:
    Transfer(TransferRequest request, std::shared_ptr<TransferListener> listener);
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;
    ~Transfer();

    [[nodiscard]] const std::string &address() const
    {
        return m_request.address;
    }
    /** Sets the options of @p easy for the request. The caller keeps the ownership of the handle. */
    void prepare(CURL *easy);
    /** The handle given to prepare(); null before it and after end(). */
    [[nodiscard]] CURL *easy() const
    {
        return m_easy;
    }
    [[nodiscard]] std::optional<Duration> slowAfter() const
    {
        return m_request.slowAfter;
    }
    /** Calls TransferListener::transferSlow() unless the transfer has ended. */
    void notifySlow();
    /** Reports the end to the listener and clears easy(). */
    void end(CURLcode code);
    /** Ends the transfer with TransferResult::Cancelled. */
    void finishCancelled();

private:
    static std::size_t readBody(char *buffer, std::size_t size, std::size_t count, void *self);
    static std::size_t writeBody(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t readHeader(char *data, std::size_t size, std::size_t count, void *self);
    static int beforeSending(void *self, char *, char *, int, int);

    void prepareBody();
    void prepareHeaders();
    void addHeader(const std::string &line);
    bool parseHeaderLine(std::string_view line);
    bool finishHead();
    TransferEnd describeEnd(CURLcode code) const;

    TransferRequest m_request;
    std::shared_ptr<TransferListener> m_listener;
    CURL *m_easy = nullptr;
    curl_slist *m_headerLines = nullptr;
    std::string m_errorText;
    ResponseHead m_head;
    std::size_t m_headBytes = 0;
    bool m_headComplete = false;
    bool m_sent = false;
    bool m_resendBlocked = false;
    bool m_cancelled = false;
    bool m_ended = false;
};

} // namespace Filbertmount
