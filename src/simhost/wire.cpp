#include "simhost/wire.hpp"

namespace ashbeam::simhost {

void Reader::fail(const std::string& what) const {
  throw WireError(what + " at byte " + std::to_string(at_) + " of the batch");
}

std::uint64_t Reader::number(std::size_t n) {
  if (bytes_.size() - at_ < n) fail("record cut short");
  std::uint64_t v = 0;
  for (std::size_t i = 0; i < n; ++i) v = v << 8U | bytes_[at_++];
  return v;
}

std::span<const std::uint8_t> Reader::bytes(std::size_t n) {
  if (bytes_.size() - at_ < n) fail("field longer than its batch");
  const auto part = bytes_.subspan(at_, n);
  at_ += n;
  return part;
}

}  // namespace ashbeam::simhost
