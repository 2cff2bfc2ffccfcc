#include "edge/startupsignals.h"

#include "support/loopserver.h"

#include <boost/asio/signal_set.hpp>
#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace Filbertmount::TestSupport;

// Guards against a process that a signal in the first milliseconds after its start ends instead of reaching its handler.
TEST_CASE("startup signals: a signal that arrives before the handlers are installed is delivered to them")
{
    for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
        CAPTURE(signal);
        StartupSignalBlock block;
        REQUIRE(raise(signal) == 0);
        IoLoop loop;
        Asio::signal_set handlers(loop, SIGTERM, SIGINT, SIGHUP);
        int received = 0;
        handlers.async_wait([&received](const error_code & /*error*/, int number) {
            received = number;
        });
        block.release();
        CHECK(runUntil(loop, [&received] {
            return received != 0;
        }));
        CHECK(received == signal);
    }
}
