#include <filbertmount/proxy/upstreamclient.h>

#include "proxy/transferworker.h"

#include <filbertmount/types/rendezvoushash.h>

#include <algorithm>

namespace Filbertmount {

TransferHandle::TransferHandle(std::shared_ptr<Transfer> transfer, TransferWorker *worker)
    : m_transfer(std::move(transfer))
    , m_worker(worker)
{
}

void TransferHandle::cancel()
{
    if (m_transfer != nullptr) {
        m_worker->cancel(m_transfer);
    }
}

void TransferHandle::resume()
{
    if (m_transfer != nullptr) {
        m_worker->resume(m_transfer);
    }
}

UpstreamClient::UpstreamClient(const UpstreamClientOptions &options)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    for (int index = 0; index < std::max(1, options.workers); ++index) {
        m_workers.push_back(std::make_unique<TransferWorker>());
    }
}

UpstreamClient::~UpstreamClient() = default;

TransferHandle UpstreamClient::start(TransferRequest request, std::shared_ptr<TransferListener> listener)
{
    TransferWorker *worker = m_workers[stableHash(request.address) % m_workers.size()].get();
    auto transfer = std::make_shared<Transfer>(std::move(request), std::move(listener));
    worker->start(transfer);
    return {std::move(transfer), worker};
}

} // namespace Filbertmount
