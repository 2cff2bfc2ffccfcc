#include "edge/ioloop.h"

#include <doctest/doctest.h>

#include <memory>
#include <thread>

using namespace Filbertmount;
using namespace std::chrono_literals;

// Guards against a destroyed task whose timer had already expired and that still ran.
TEST_CASE("periodic task: a destroyed task does not run, even if its run was already due")
{
    IoLoop loop;
    int runs = 0;
    std::unique_ptr<PeriodicTask> first;
    std::unique_ptr<PeriodicTask> second;
    first = std::make_unique<PeriodicTask>(loop, 1ms, [&] {
        ++runs;
        second.reset();
    });
    second = std::make_unique<PeriodicTask>(loop, 1ms, [&] {
        ++runs;
        first.reset();
    });
    // Both runs are due when the loop polls; whichever comes first destroys the other task.
    std::this_thread::sleep_for(5ms);
    loop.poll_one();
    loop.poll_one();
    CHECK(runs == 1);
}
