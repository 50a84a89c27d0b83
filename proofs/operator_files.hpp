// A temporary folder with the files that an operator and an identity service provide for a router: the
// operator's configuration, token signing keys and certificates.
#pragma once
#include <stdlib.h>
#include <sys/stat.h>

#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

#include "fakes/certificate_authority.hpp"
#include "store/files.hpp"
#include "tokens/key_set.hpp"

namespace ashbeam {

class OperatorFiles {
 public:
  OperatorFiles() {
    char name[] = "/tmp/ashbeam-proof-XXXXXX";
    if (!::mkdtemp(name)) throw std::runtime_error("mkdtemp failed: /tmp/ashbeam-proof-XXXXXX");
    folder_ = name;
    ::mkdir(path("keys").c_str(), 0755);
    const fakes::Identity server = authority.issue("", "router", Duration::s(86400), true);
    write_file(path("chain.pem"), server.certificate_pem, 0644);
    write_file(path("key.pem"), server.key_pem, 0600);
    write_file(path("ca.pem"), authority.pem(), 0644);
    write_revoked("");
    write_file(path("ashbeam.cue"), R"(calling: {
	prove: "required"
	tokens: {keys: "keys", reread: "100ms", audience: "ashbeam", leeway: "1s", overlap: "6s", verifications_per_s: 1500}
	tenants: [{name: "shop"}]
}
tls: {
	listen: "127.0.0.1:0", certificate: "chain.pem", key: "key.pem"
	clients: "optional", trust: "ca.pem", revoked: "revoked"
	handshake_cpu: 0.5
}
)",
               0644);
  }
  ~OperatorFiles() { std::filesystem::remove_all(folder_); }
  OperatorFiles(const OperatorFiles&) = delete;
  OperatorFiles& operator=(const OperatorFiles&) = delete;

  std::string path(const std::string& name) const { return folder_ + "/" + name; }
  void write_keys(const std::vector<tokens::KeyEntry>& keys) const {
    write_file(path("keys/ring.json"), tokens::serialize_key_set(keys), 0644);
  }
  // Writes the operator's file of revoked certificates.
  void write_revoked(const std::string& lines) const { write_file(path("revoked"), lines, 0644); }

  fakes::CertificateAuthority authority{"authority"};

 private:
  std::string folder_;
};

}  // namespace ashbeam
