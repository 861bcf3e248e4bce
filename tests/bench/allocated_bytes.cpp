#include <tests/bench/allocated_bytes.hpp>

#include <atomic>
#include <cstddef>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> total_bytes{0};

} // namespace

void* operator new(std::size_t size) {
    total_bytes.fetch_add(size, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc();
}

void operator delete(void* memory) noexcept {
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    std::free(memory);
}

namespace ospreystage::bench {

std::uint64_t allocated_bytes() noexcept {
    return total_bytes.load(std::memory_order_relaxed);
}

} // namespace ospreystage::bench
