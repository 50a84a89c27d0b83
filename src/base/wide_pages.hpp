// An allocator for large tables: asks the kernel for huge pages (madvise(2), MADV_HUGEPAGE) where a block is
// as large as one, since a table that is read at random spends most of its time on TLB misses otherwise.
// Smaller blocks come from the ordinary heap. Errors: std::bad_alloc.
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
    // A hint: the table works without huge pages as well.
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
