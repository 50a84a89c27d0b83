#include "tokens/base64url.hpp"

#include <array>
#include <cstdint>

namespace ashbeam::tokens {

namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

constexpr std::array<std::int8_t, 256> values() {
  std::array<std::int8_t, 256> all{};
  for (auto& v : all) v = -1;
  for (std::size_t i = 0; i < kAlphabet.size(); ++i)
    all[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::int8_t>(i);
  return all;
}

}  // namespace

std::string to_base64url(std::string_view bytes) {
  std::string all;
  all.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t held = 0;
  unsigned bits = 0;
  for (const char c : bytes) {
    held = (held << 8U) | static_cast<unsigned char>(c);
    for (bits += 8; bits >= 6; bits -= 6) all += kAlphabet[(held >> (bits - 6)) & 63U];
  }
  if (bits > 0) all += kAlphabet[(held << (6 - bits)) & 63U];
  return all;
}

std::optional<std::string> from_base64url(std::string_view text) {
  static constexpr auto kValues = values();
  if (text.size() % 4 == 1) return std::nullopt;
  std::string all;
  all.reserve(text.size() * 3 / 4);
  std::uint32_t held = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const int v = kValues[static_cast<unsigned char>(c)];
    if (v < 0) return std::nullopt;
    held = (held << 6U) | static_cast<unsigned>(v);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      all += static_cast<char>((held >> bits) & 255U);
    }
  }
  if ((held & ((1U << bits) - 1)) != 0) return std::nullopt;
  return all;
}

}  // namespace ashbeam::tokens
