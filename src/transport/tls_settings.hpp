// What the operator's file says of the TLS listener.
#pragma once
#include <cstddef>
#include <string>

#include "base/time.hpp"

namespace ashbeam {

struct TlsSettings {
  enum class ClientCertificates { kOff, kOptional, kRequired };

  std::string listen_address;    // numeric address and port
  std::string certificate_path;  // path of a PEM file: the leaf, then what leads up to it
  std::string key_path;          // path of a PEM file
  ClientCertificates client_certificates = ClientCertificates::kOff;
  std::string trust_path;    // path of a PEM file: who signs clients' certificates; empty: none
  std::string crl_path;      // path of a PEM file with CRLs; empty: none
  std::string revoked_path;  // path of a list, see revoked_certificates.hpp; empty: none
  bool tls13_only = false;
  std::size_t max_handshakes = 64;              // in progress at once
  Duration handshake_timeout = Duration::s(2);  // from the connection to the handshake's end
  double max_handshake_cpu_fraction = 0.25;     // seconds of CPU
  Duration ticket_key_lifetime = Duration::s(3600);
  bool operator==(const TlsSettings&) const = default;
};

// The contents of the files that the settings name; empty where none is named.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string trust;
  std::string crl;
  std::string revoked;
};

}  // namespace ashbeam
