// The settings of the TLS listener, from the `tls` section of the operator's file.
#pragma once
#include <cstddef>
#include <string>

#include "base/time.hpp"

namespace ashbeam {

struct TlsSettings {
  // Whether the server requests a certificate from clients, and whether a client without one is accepted.
  enum class ClientCertificates { kOff, kOptional, kRequired };

  std::string listen_address;  // a numeric IP address and a port
  // Paths of PEM files: the server's certificate, followed by its intermediates, and the private key.
  std::string certificate_path;
  std::string key_path;
  ClientCertificates client_certificates = ClientCertificates::kOff;
  // Each of these three paths is empty if there is no such file.
  std::string trust_path;    // a PEM file of the certificate authorities that may sign client certificates
  std::string crl_path;      // a PEM file of CRLs
  std::string revoked_path;  // a list of revoked certificates, in the format of revoked_certificates.hpp
  bool tls13_only = false;
  std::size_t max_handshakes = 64;              // maximum number of concurrent handshakes
  Duration handshake_timeout = Duration::s(2);  // from accepting the connection to the end of the handshake
  // Maximum CPU time that handshakes may use, in seconds of CPU per second.
  double max_handshake_cpu_fraction = 0.25;
  // A key seals new session tickets for this time.
  Duration ticket_key_lifetime = Duration::s(3600);
  bool operator==(const TlsSettings&) const = default;
};

// The contents of the files that the settings name. Each is empty if the settings name no such file.
struct TlsFiles {
  std::string certificate;
  std::string key;
  std::string trust;
  std::string crl;
  std::string revoked;
};

}  // namespace ashbeam
