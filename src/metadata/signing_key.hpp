// Private keys that sign metadata files, for the repositories of tests and fault tests. Each key is generated
// anew.
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "metadata/json.hpp"

struct evp_pkey_st;

namespace ashbeam::metadata {

class SigningKey {
 public:
  enum class Kind { kEd25519, kEcdsa, kRsa };  // ECDSA is on P-256, RSA has 2048 bits

  // Throws std::runtime_error if OpenSSL can't generate the key.
  static SigningKey generate(Kind kind);

  // Returns the key id: the SHA-256 of the public key object's canonical form, in hex.
  const std::string& id() const { return id_; }

  // Returns the public key as the key object that metadata files hold.
  const JsonNode& public_key_object() const { return public_key_object_; }

  // Returns the same key with a further member in its key object, and therefore with another key id. `name`
  // is the name of a member that the specification does not define.
  SigningKey with_extra_member(const std::string& name) const;

  // Returns the signature in hex. Throws std::runtime_error if signing fails.
  std::string sign(std::string_view bytes) const;

 private:
  void set_public_key_object(JsonNode object);

  Kind kind_ = Kind::kEd25519;
  std::shared_ptr<evp_pkey_st> key_;
  JsonNode public_key_object_;
  std::string id_;
};

}  // namespace ashbeam::metadata
