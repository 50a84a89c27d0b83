// Reading and writing the wire's numbers: big-endian, no padding. No message has a type here: the fleet
// reads field after field and hands each straight on.
#pragma once
#include <bit>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace ashbeam::simhost {

struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}
  bool done() const { return at_ == bytes_.size(); }
  std::size_t at() const { return at_; }
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  std::uint64_t u64() { return number(8); }
  float f32() { return std::bit_cast<float>(u32()); }
  double f64() { return std::bit_cast<double>(u64()); }
  std::uint64_t address() {  // four bytes and a port, as one number
    const std::uint64_t ip = u32();
    return ip << 16U | u16();
  }
  std::span<const std::uint8_t> bytes(std::size_t n);
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::uint64_t number(std::size_t n);
  std::span<const std::uint8_t> bytes_;
  std::size_t at_ = 0;
};

class Writer {
 public:
  void u8(std::uint8_t v) { out_.push_back(v); }
  void u16(std::uint16_t v) { number(v, 2); }
  void u32(std::uint32_t v) { number(v, 4); }
  void u64(std::uint64_t v) { number(v, 8); }
  void f64(double v) { u64(std::bit_cast<std::uint64_t>(v)); }
  void address(std::uint64_t a) { number(a, 6); }
  void text(std::span<const std::uint8_t> s) {
    u16(static_cast<std::uint16_t>(s.size()));
    out_.insert(out_.end(), s.begin(), s.end());
  }
  void clear() { out_.clear(); }
  const std::vector<std::uint8_t>& bytes() const { return out_; }

 private:
  void number(std::uint64_t v, unsigned n) {
    for (unsigned i = n; i-- > 0;) out_.push_back(static_cast<std::uint8_t>(v >> (8U * i)));
  }
  std::vector<std::uint8_t> out_;
};

}  // namespace ashbeam::simhost
