#pragma once

// Counts the allocations of the calling thread by replacing the global allocation functions. Include this header in only
// one source file of a program.

#include <cstdint>
#include <cstdlib>
#include <new>

namespace Filbertmount {

inline thread_local std::uint64_t allocationsOfThread = 0;

} // namespace Filbertmount

// Not inlined: GCC reports an inlined pair of new and delete as a mismatch of new and free.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    ++Filbertmount::allocationsOfThread;
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    return memory;
}

// std::stable_sort allocates with this overload and frees with the ordinary operator delete.
[[gnu::noinline]] void *operator new(std::size_t size, const std::nothrow_t & /*tag*/) noexcept
{
    ++Filbertmount::allocationsOfThread;
    return std::malloc(size == 0 ? 1 : size); // NOLINT: this is the allocator.
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
