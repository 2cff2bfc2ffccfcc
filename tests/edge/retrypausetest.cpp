#include <filbertmount/edge/retrypause.h>

#include <doctest/doctest.h>

using namespace Filbertmount;
using namespace std::chrono_literals;

TEST_CASE("retry pause: the pauses grow up to the maximum, differ between instances and begin anew after a success")
{
    RetryPause pause({.first = 50ms, .max = 400ms, .seed = 1});
    for (const Duration bound : {50ms, 100ms, 200ms, 400ms, 400ms}) {
        const Duration next = pause.next();
        CHECK(next >= bound / 2);
        CHECK(next <= bound);
    }
    CHECK(RetryPause({.first = 1s, .max = 1s, .seed = 1}).next() != RetryPause({.first = 1s, .max = 1s, .seed = 2}).next());
    pause.reset();
    CHECK(pause.next() <= 50ms);
}
