// A standard allocator for large tables. For a block of at least the size of a huge page it asks the kernel
// for huge pages (madvise(2), MADV_HUGEPAGE), because random access to a large table otherwise spends most of
// its time on TLB misses. Smaller blocks are allocated as by std::allocator. Throws std::bad_alloc when no
// memory is left.
#pragma once
#include <sys/mman.h>

#include <cstddef>
#include <new>

namespace ashbeam {

template <class T>
struct HugePageAllocator {
  using value_type = T;
  HugePageAllocator() = default;
  template <class U>
  explicit HugePageAllocator(const HugePageAllocator<U>&) {}

  T* allocate(std::size_t count) {
    const std::size_t bytes = count * sizeof(T);
    void* const block = ::operator new(bytes, alignment_of(bytes));
    // An error is ignored: huge pages only make the table faster.
    if (bytes >= kHugePageBytes) ::madvise(block, bytes, MADV_HUGEPAGE);
    return static_cast<T*>(block);
  }
  void deallocate(T* block, std::size_t count) { ::operator delete(block, alignment_of(count * sizeof(T))); }
  bool operator==(const HugePageAllocator&) const = default;

 private:
  static constexpr std::size_t kHugePageBytes = std::size_t{2} * 1024 * 1024;

  static constexpr std::align_val_t alignment_of(std::size_t bytes) {
    return std::align_val_t(bytes < kHugePageBytes ? alignof(T) : kHugePageBytes);
  }
};

}  // namespace ashbeam
