// Private keys that sign metadata, made anew each time: for repositories of tests, fault tests and the demo.
#pragma once
#include <memory>
#include <string>
#include <string_view>

#include "metadata/json.hpp"

struct evp_pkey_st;

namespace ashbeam::metadata {

class SigningKey {
 public:
  enum class Kind { kEd25519, kEcdsa, kRsa };  // ECDSA on P-256, RSA of 2048 bits
  // Throws std::runtime_error where no key can be made.
  static SigningKey generate(Kind kind);
  const std::string& id() const { return id_; }
  // The public key's object, as metadata has it.
  const JsonNode& public_key_object() const { return public_key_object_; }
  // The same key as another object, so under another id: `member` is the name of a member without meaning.
  SigningKey with_extra_member(const std::string& name) const;
  // The signature in hex. Throws std::runtime_error where signing fails.
  std::string sign(std::string_view bytes) const;

 private:
  void set_public_key_object(JsonNode object);

  Kind kind_ = Kind::kEd25519;
  std::shared_ptr<evp_pkey_st> key_;
  JsonNode public_key_object_;
  std::string id_;
};

}  // namespace ashbeam::metadata
