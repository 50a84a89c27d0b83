// Reads and writes the fields of the simulator's binary protocol: big-endian numbers without padding. The
// records that are made of them are described in events.hpp and reply.hpp.
#pragma once
#include <bit>
#include <cstddef>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

namespace ashbeam::simhost {

// Thrown if the input does not follow the protocol, or if input or output ends early.
struct WireError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// An endpoint's IPv4 address (upper 32 bits) and its port (lower 16 bits).
using WireAddress = std::uint64_t;

// Reads fields one after another. Each read throws WireError if the bytes end before the field does.
class Reader {
 public:
  explicit Reader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  bool is_at_end() const { return position_ == bytes_.size(); }
  std::uint8_t u8() { return static_cast<std::uint8_t>(big_endian(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(big_endian(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(big_endian(4)); }
  std::uint64_t u64() { return big_endian(8); }
  float f32() { return std::bit_cast<float>(u32()); }
  double f64() { return std::bit_cast<double>(u64()); }
  WireAddress address() {
    const WireAddress ip = u32();
    return ip << 16U | u16();
  }
  std::span<const std::uint8_t> bytes(std::size_t count);
  // Throws WireError with the message `what` and the current position.
  [[noreturn]] void fail(const std::string& what) const;

 private:
  std::uint64_t big_endian(std::size_t byte_count);

  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
};

// Appends fields to a buffer.
class Writer {
 public:
  void u8(std::uint8_t value) { bytes_.push_back(value); }
  void u16(std::uint16_t value) { big_endian(value, 2); }
  void u32(std::uint32_t value) { big_endian(value, 4); }
  void u64(std::uint64_t value) { big_endian(value, 8); }
  void f64(double value) { u64(std::bit_cast<std::uint64_t>(value)); }
  void address(WireAddress address) { big_endian(address, 6); }
  // Writes the length in two bytes, followed by the text. The text must not be longer than 65,535 bytes.
  void text(std::span<const std::uint8_t> text) {
    u16(static_cast<std::uint16_t>(text.size()));
    bytes_.insert(bytes_.end(), text.begin(), text.end());
  }
  void clear() { bytes_.clear(); }
  const std::vector<std::uint8_t>& bytes() const { return bytes_; }

 private:
  void big_endian(std::uint64_t value, unsigned byte_count) {
    for (unsigned i = byte_count; i-- > 0;) bytes_.push_back(static_cast<std::uint8_t>(value >> (8U * i)));
  }

  std::vector<std::uint8_t> bytes_;
};

}  // namespace ashbeam::simhost
