#include "transport/x509_fields.hpp"

#include <openssl/bn.h>
#include <openssl/evp.h>
#include <openssl/x509.h>

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <ctime>
#include <string_view>

#include "tokens/key_set.hpp"

namespace ashbeam {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

std::string to_hex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    hex += kDigits[static_cast<unsigned char>(byte) >> 4U];
    hex += kDigits[static_cast<unsigned char>(byte) & 15U];
  }
  return hex;
}

// Returns the value in UTF-8 of the subject's first attribute of the type `nid`, or an empty string.
std::string subject_attribute(X509* certificate, int nid) {
  const X509_NAME* const subject = X509_get_subject_name(certificate);
  const int index = X509_NAME_get_index_by_NID(subject, nid, -1);
  if (index < 0) return {};
  unsigned char* utf8 = nullptr;
  const int size = ASN1_STRING_to_UTF8(&utf8, X509_NAME_ENTRY_get_data(X509_NAME_get_entry(subject, index)));
  if (size < 0) return {};
  const OpensslBuffer<unsigned char> owned(utf8);
  std::string text(reinterpret_cast<char*>(utf8), static_cast<std::size_t>(size));
  // A program that handles names as C strings would read such a name only up to its zero byte, and could
  // mistake it for the name of another principal.
  if (text.size() > kMaxNameBytes || text.find('\0') != std::string::npos) return {};
  return text;
}

// Returns Instant(), which is in the distant past, if the time cannot be parsed.
Instant to_instant(const ASN1_TIME* time) {
  std::tm parts{};
  if (ASN1_TIME_to_tm(time, &parts) != 1) return Instant();
  return Instant::at_us(static_cast<std::int64_t>(::timegm(&parts)) * kMicrosecondsPerSecond);
}

}  // namespace

std::string serial_number_hex(x509_st* certificate) {
  const OpensslPtr<BIGNUM> number(ASN1_INTEGER_to_BN(X509_get0_serialNumber(certificate), nullptr));
  const OpensslBuffer<char> hex(BN_bn2hex(number.get()));
  std::string text(hex.get());
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  return text.substr(std::min(text.find_first_not_of('0'), text.size() - 1));
}

std::string public_key_sha256_hex(x509_st* certificate) {
  unsigned char* der = nullptr;
  const int size = i2d_X509_PUBKEY(X509_get_X509_PUBKEY(certificate), &der);
  if (size <= 0) return {};
  const OpensslBuffer<unsigned char> owned(der);
  const auto digest = tokens::sha256({reinterpret_cast<char*>(der), static_cast<std::size_t>(size)});
  return to_hex({reinterpret_cast<const char*>(digest.data()), digest.size()});
}

calling::ClientCertificate read_client_certificate(x509_st* certificate) {
  calling::ClientCertificate fields;
  fields.organisation = subject_attribute(certificate, NID_organizationName);
  fields.common_name = subject_attribute(certificate, NID_commonName);
  auto size = static_cast<unsigned>(fields.sha256.size());
  X509_digest(certificate, EVP_sha256(), fields.sha256.data(), &size);
  fields.not_before = to_instant(X509_get0_notBefore(certificate));
  fields.not_after = to_instant(X509_get0_notAfter(certificate));
  return fields;
}

}  // namespace ashbeam
