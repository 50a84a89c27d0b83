#include "simhost/wire.hpp"

namespace ashbeam::simhost {

void Reader::fail(const std::string& what) const {
  throw WireError(what + " at byte " + std::to_string(position_) + " of the batch");
}

std::uint64_t Reader::big_endian(std::size_t byte_count) {
  if (bytes_.size() - position_ < byte_count)
    fail("field of " + std::to_string(byte_count) + " bytes cut short to " +
         std::to_string(bytes_.size() - position_));
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < byte_count; ++i) value = value << 8U | bytes_[position_++];
  return value;
}

std::span<const std::uint8_t> Reader::bytes(std::size_t count) {
  if (bytes_.size() - position_ < count)
    fail("field of " + std::to_string(count) + " bytes cut short to " +
         std::to_string(bytes_.size() - position_));
  const auto field = bytes_.subspan(position_, count);
  position_ += count;
  return field;
}

}  // namespace ashbeam::simhost
