// Makes a repository's files: keys, roles, versions, signatures. For `ashbeam metadata`, and for stand-ins
// that then spoil what it made. No I/O.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/time.hpp"
#include "metadata/json.hpp"
#include "metadata/roles.hpp"

namespace ashbeam::metadata {

class SigningKey {
 public:
  enum class Kind { kEd25519, kEcdsa, kRsa };
  static SigningKey fresh(Kind kind);
  const std::string& id() const { return id_; }
  const Node& object() const { return object_; }
  // The same key as another object, so under another id: `mark` is a member that means nothing.
  SigningKey renamed(const std::string& mark) const;
  std::string sign(std::string_view bytes) const;  // hex

 private:
  void name();
  Kind kind_ = Kind::kEd25519;
  std::shared_ptr<evp_pkey_st> key_;
  Node object_;
  std::string id_;
};

// Plain values to change as one likes, and the files that they make.
struct Publisher {
  struct Signers {
    std::vector<SigningKey> keys;
    std::int64_t threshold = 1;
  };
  struct Part {
    std::string delegator, role;
    Signers signers;
    std::vector<std::string> paths, hash_prefixes;
    bool terminating = false;
    std::vector<std::string> with;  // TAP 3: further roles of the same entry
    unsigned agreement = 1;
  };
  std::map<std::string, Signers> roles;  // root, timestamp, snapshot, targets
  std::vector<Part> parts;               // delegations, in order
  std::map<std::string, std::int64_t> versions;
  std::map<std::string, Instant> expires;  // by role; `usual_expiry` where not there
  Instant usual_expiry;
  std::map<std::string, std::map<std::string, std::string>> contents;  // by targets role: path and content
  bool consistent_snapshot = true, with_hashes = true;

  explicit Publisher(Instant usual_expiry);
  std::string root(const Signers* also = nullptr) const;  // signed by `also`, too: the former root's keys
  std::string targets(const std::string& role = "targets") const;
  std::string snapshot() const;
  std::string timestamp() const;
  // All of it as files by their names, as a client asks for them.
  std::map<std::string, std::string> files() const;

  // Any signed part, signed by so many of the keys.
  static std::string signed_by(const Node& body, const std::vector<SigningKey>& keys);
  Node body(const std::string& role) const;

 private:
  const Signers& signers(const std::string& role) const;
  const std::string& made(const std::string& role) const;
  // By body and keys: two of the schemes sign the same bytes in another way each time.
  mutable std::map<std::string, std::string> made_;
  Node meta(const std::string& file, std::int64_t version) const;
};

// Short ways to build nodes.
Node text_node(std::string text);
Node number_node(std::int64_t number);
Node bool_node(bool truth);
Node list_node(std::vector<Node> items);
Node object_node(std::vector<std::pair<std::string, Node>> members);

}  // namespace ashbeam::metadata
