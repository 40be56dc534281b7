#include "allocations.h"

#include <atomic>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace
{

std::atomic<std::size_t> inUse{0};

} // namespace

void *operator new(std::size_t size)
{
    void *const memory = std::malloc(size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    inUse += malloc_usable_size(memory);
    return memory;
}

void operator delete(void *memory) noexcept
{
    if (memory != nullptr) {
        inUse -= malloc_usable_size(memory);
        std::free(memory);
    }
}

void operator delete(void *memory, std::size_t) noexcept
{
    operator delete(memory);
}

namespace pimentoshed::bench
{

std::size_t heapInUse()
{
    return inUse;
}

} // namespace pimentoshed::bench
