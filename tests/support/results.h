#pragma once

#include <filbertmount/types/failure.h>

#include <boost/leaf/handle_errors.hpp>
#include <doctest/doctest.h>

#include <optional>
#include <type_traits>

namespace Filbertmount {

/** Returns the value of @p function's Result; fails the test with the failure's description if it holds none. */
template<class Function>
auto requireValue(Function function)
{
    using Value = std::decay_t<decltype(function().value())>;
    return boost::leaf::try_handle_all(
               [&]() -> Result<std::optional<Value>> {
                   BOOST_LEAF_AUTO(value, function());
                   return std::optional<Value>(std::move(value));
               },
               [](const Failure &failure) -> std::optional<Value> {
                   FAIL(describe(failure));
                   return std::nullopt;
               },
               []() -> std::optional<Value> {
                   FAIL("an error without a Failure");
                   return std::nullopt;
               })
        .value();
}

/** Fails the test with the failure's description unless @p function returns a successful Result<void>. */
template<class Function>
void requireSuccess(Function function)
{
    requireValue([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(function());
        return true;
    });
}

/** Returns the error object of type @p Error of @p function's Result; fails the test if it holds a value or another error. */
template<class Error, class Function>
Error requireError(Function function)
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<Error> {
            BOOST_LEAF_CHECK(function());
            FAIL("expected an error, got a value");
            return Error{};
        },
        [](const Error &error) {
            return error;
        },
        []() {
            FAIL("an error of another type");
            return Error{};
        });
}

} // namespace Filbertmount
