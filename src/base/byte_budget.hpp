// Accounts for the memory that buffers of one kind may use together. Each buffer has a reservation, which its
// owner resizes whenever the buffer has grown or shrunk; the budget adds them up. The budget does not refuse
// anything: its owner asks is_exceeded(), and frees buffers until it is not.
#pragma once
#include <cstddef>

namespace ashbeam {

class ByteBudget {
 public:
  explicit ByteBudget(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  bool is_exceeded() const { return used_bytes_ > max_bytes_; }
  // Returns whether `bytes` more can be reserved without exceeding the budget.
  bool has_room_for(std::size_t bytes) const { return used_bytes_ + bytes <= max_bytes_; }
  void reserve(std::size_t bytes) { used_bytes_ += bytes; }
  void release(std::size_t bytes) { used_bytes_ -= bytes; }

 private:
  std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
};

// The part of a budget that one buffer uses. The budget must exist until bytes() is 0.
class ByteReservation {
 public:
  explicit ByteReservation(ByteBudget& budget) : budget_(budget) {}
  ~ByteReservation() { resize(0); }
  ByteReservation(const ByteReservation&) = delete;
  ByteReservation& operator=(const ByteReservation&) = delete;

  std::size_t bytes() const { return bytes_; }
  void resize(std::size_t bytes) {
    if (bytes == bytes_) return;
    budget_.release(bytes_);
    budget_.reserve(bytes);
    bytes_ = bytes;
  }

 private:
  ByteBudget& budget_;
  std::size_t bytes_ = 0;
};

}  // namespace ashbeam
