#include "edge/quotaadmission.h"

#include <absl/strings/str_format.h>

namespace Filbertmount {

namespace {

constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
// Another instance can serve the request at once.
constexpr Duration ShutdownRetryAfter = std::chrono::milliseconds(50);

using RefusalHandler = std::function<void(const ServerRequest &, ResponseHandler &, ServerResponse, const std::string &)>;

/** Whether the request of @p response was not executed, so that its token is returned. */
bool isNotRun(const ServerResponse &response, const HttpDialect &dialect)
{
    const bool isOwnRefusal = response.status == Unavailable && findHeader(response.headers, dialect.responseStamp) == nullptr;
    return isOwnRefusal || findHeader(response.headers, dialect.notRun) != nullptr;
}

/** A request that waits for a token and is forwarded afterwards. */
class QuotaAdmission : public ActiveRequest, public std::enable_shared_from_this<QuotaAdmission>
{
public:
    QuotaAdmission(CallEnvironment &environment,
                   QuotaAccount account,
                   RoutedRequest request,
                   ResponseHandler respond,
                   RefusalHandler refuse,
                   std::function<void()> onAdmitted)
        : m_environment(environment)
        , m_account(std::move(account))
        , m_request(std::move(request))
        , m_respond(std::move(respond))
        , m_refuse(std::move(refuse))
        , m_onAdmitted(std::move(onAdmitted))
    {
    }

    /** Returns the request in progress, which is the forwarded call itself if the token was available at once. */
    std::shared_ptr<ActiveRequest> start()
    {
        const QuotaAsk ask{.account = m_account.name,
                           .limit = m_account.limit,
                           .version = m_request.routes->version().value(),
                           .deadline = m_request.deadline};
        m_waiter = m_environment.quotas->acquire(ask, [self = shared_from_this()](const QuotaDecision &decision) {
            self->onDecision(decision);
        });
        return m_waiter != 0 ? shared_from_this() : m_call;
    }

    void abandon() override
    {
        m_environment.quotas->cancel(m_waiter);
        m_respond = nullptr;
        if (m_call) {
            m_call->abandon();
        }
    }

    void endIfWaiting() override
    {
        if (m_call) {
            m_call->endIfWaiting();
            return;
        }
        m_environment.quotas->cancel(m_waiter);
        onDecision({.outcome = QuotaOutcome::Unavailable, .retryAfter = ShutdownRetryAfter});
    }

private:
    void onDecision(const QuotaDecision &decision)
    {
        if (m_respond == nullptr) {
            if (decision.outcome == QuotaOutcome::Granted) {
                m_environment.quotas->release(m_account.name, decision.token);
            }
            return;
        }
        if (decision.outcome != QuotaOutcome::Granted) {
            ResponseHandler respond = std::exchange(m_respond, nullptr);
            m_refuse(m_request.request,
                     respond,
                     quotaRefusal(decision),
                     quotaRefusalReason(m_account, decision, m_request.routes->version()));
            return;
        }
        if (m_onAdmitted) {
            m_onAdmitted();
        }
        ResponseHandler respond = [&environment = m_environment,
                                   account = m_account.name,
                                   token = decision.token,
                                   inner = std::exchange(m_respond, nullptr)](ServerResponse response) mutable {
            if (isNotRun(response, environment.dialect)) {
                environment.quotas->release(account, token);
            }
            inner(std::move(response));
        };
        auto call = std::make_shared<ForwardedCall>(m_environment, std::move(m_request), std::move(respond));
        m_call = call;
        call->start();
    }

    CallEnvironment &m_environment;
    const QuotaAccount m_account;
    RoutedRequest m_request;
    ResponseHandler m_respond;
    RefusalHandler m_refuse;
    std::function<void()> m_onAdmitted;
    std::uint64_t m_waiter = 0;
    std::shared_ptr<ActiveRequest> m_call;
};

} // namespace

ServerResponse quotaRefusal(const QuotaDecision &decision)
{
    const double seconds = std::chrono::duration<double>(decision.retryAfter).count();
    return {.status = decision.outcome == QuotaOutcome::OverQuota ? TooManyRequests : Unavailable,
            .headers = {{.name = "Retry-After", .value = absl::StrFormat("%.3f", seconds)}}};
}

std::string quotaRefusalReason(const QuotaAccount &account, const QuotaDecision &decision, RouteSetVersion version)
{
    return absl::StrFormat("%s: account %s, %d tokens held, owner's answer %.0f ms old, limit of version %d",
                           decision.outcome == QuotaOutcome::OverQuota ? "over quota" : "no quota owner answered",
                           account.name,
                           decision.held,
                           toMilliseconds(decision.answerAge),
                           version.value());
}

std::shared_ptr<ActiveRequest> startWithQuota(CallEnvironment &environment,
                                              QuotaAccount account,
                                              RoutedRequest request,
                                              ResponseHandler respond,
                                              RefusalHandler refuse,
                                              std::function<void()> onAdmitted)
{
    return std::make_shared<QuotaAdmission>(
               environment, std::move(account), std::move(request), std::move(respond), std::move(refuse), std::move(onAdmitted))
        ->start();
}

} // namespace Filbertmount
