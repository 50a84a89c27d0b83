// What the operator says of the TLS listener.
#pragma once
#include <cstddef>
#include <string>

#include "base/time.hpp"

namespace ashbeam {

struct TlsSettings {
  enum class Clients { kOff, kOptional, kRequired };  // client certificates
  std::string listen;                                 // numeric address and port
  std::string certificate, key;                       // paths of PEM files
  Clients clients = Clients::kOff;
  std::string trust, crl, revoked;  // paths; empty: none
  bool only_13 = false;
  std::size_t handshakes = 64;  // under way at once
  Span handshake = Span::s(2);  // from the connection to its end
  double handshake_cpu = 0.25;  // seconds of CPU a second
  Span ticket_turn = Span::s(3600);
  bool operator==(const TlsSettings&) const = default;
};

// What stands in the files that the terms name.
struct TlsFiles {
  std::string certificate, key, trust, crl, revoked;
};

}  // namespace ashbeam
