#include "tokens/base64url.hpp"

#include <array>
#include <cstdint>

namespace ashbeam::tokens {

namespace {

constexpr std::string_view kAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned kBitsPerByte = 8;
constexpr unsigned kBitsPerDigit = 6;
constexpr std::uint8_t kInvalidDigit = 255;

constexpr std::array<std::uint8_t, 256> digit_values() {
  std::array<std::uint8_t, 256> values{};
  for (auto& value : values) value = kInvalidDigit;
  for (std::size_t i = 0; i < kAlphabet.size(); ++i)
    values[static_cast<unsigned char>(kAlphabet[i])] = static_cast<std::uint8_t>(i);
  return values;
}

}  // namespace

std::string encode_base64url(std::string_view bytes) {
  std::string text;
  text.reserve((bytes.size() * 4 + 2) / 3);
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char c : bytes) {
    buffer = (buffer << kBitsPerByte) | static_cast<unsigned char>(c);
    bits += kBitsPerByte;
    while (bits >= kBitsPerDigit) {
      bits -= kBitsPerDigit;
      text += kAlphabet[(buffer >> bits) & 63U];
    }
  }
  if (bits > 0) text += kAlphabet[(buffer << (kBitsPerDigit - bits)) & 63U];
  return text;
}

std::optional<std::string> decode_base64url(std::string_view text) {
  static constexpr auto kDigitValues = digit_values();
  if (text.size() % 4 == 1) return std::nullopt;
  std::string bytes;
  bytes.reserve(text.size() * 3 / 4);
  std::uint32_t buffer = 0;
  unsigned bits = 0;
  for (const char c : text) {
    const std::uint8_t digit = kDigitValues[static_cast<unsigned char>(c)];
    if (digit == kInvalidDigit) return std::nullopt;
    buffer = (buffer << kBitsPerDigit) | digit;
    bits += kBitsPerDigit;
    if (bits < kBitsPerByte) continue;
    bits -= kBitsPerByte;
    bytes += static_cast<char>((buffer >> bits) & 255U);
  }
  const std::uint32_t unused_bits = buffer & ((1U << bits) - 1);
  if (unused_bits != 0) return std::nullopt;
  return bytes;
}

}  // namespace ashbeam::tokens
