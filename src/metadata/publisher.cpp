#include "metadata/publisher.hpp"

#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>

#include <algorithm>
#include <set>
#include <stdexcept>

namespace ashbeam::metadata {

namespace {

std::string hex(std::string_view bytes) {
  constexpr char kHex[] = "0123456789abcdef";
  std::string all;
  for (const char c : bytes) {
    all += kHex[static_cast<unsigned char>(c) >> 4U];
    all += kHex[static_cast<unsigned char>(c) & 15U];
  }
  return all;
}

Node names(const std::vector<std::string>& all) {
  std::vector<Node> items;
  for (const auto& n : all) items.push_back(text_node(n));
  return list_node(std::move(items));
}

Node role_node(const Publisher::Signers& s) {
  std::vector<std::string> ids;
  for (const auto& k : s.keys) ids.push_back(k.id());
  return object_node({{"keyids", names(ids)}, {"threshold", number_node(s.threshold)}});
}

}  // namespace

Node text_node(std::string text) {
  Node n;
  n.kind = Node::Kind::kString, n.text = std::move(text);
  return n;
}
Node number_node(std::int64_t number) {
  Node n;
  n.kind = Node::Kind::kNumber, n.number = number;
  return n;
}
Node bool_node(bool truth) {
  Node n;
  n.kind = Node::Kind::kBool, n.truth = truth;
  return n;
}
Node list_node(std::vector<Node> items) {
  Node n;
  n.kind = Node::Kind::kList, n.items = std::move(items);
  return n;
}
Node object_node(std::vector<std::pair<std::string, Node>> members) {
  Node n;
  n.kind = Node::Kind::kObject, n.members = std::move(members);
  std::sort(n.members.begin(), n.members.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  return n;
}

// ---- Keys ----

SigningKey SigningKey::fresh(Kind kind) {
  SigningKey k;
  k.kind_ = kind;
  EVP_PKEY* const made = kind == Kind::kEd25519 ? EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519")
                         : kind == Kind::kEcdsa ? EVP_EC_gen("P-256")
                                                : EVP_RSA_gen(2048);
  if (!made) throw std::runtime_error("no key can be made");
  k.key_.reset(made, EVP_PKEY_free);
  std::string shown;
  if (kind == Kind::kEd25519) {
    unsigned char raw[32];
    std::size_t size = sizeof raw;
    EVP_PKEY_get_raw_public_key(made, raw, &size);
    shown = hex({reinterpret_cast<char*>(raw), size});
  } else {
    BIO* const bio = BIO_new(BIO_s_mem());
    PEM_write_bio_PUBKEY(bio, made);
    char* data = nullptr;
    const long size = BIO_get_mem_data(bio, &data);
    shown.assign(data, static_cast<std::size_t>(size));
    BIO_free(bio);
  }
  const char* const types[] = {"ed25519", "ecdsa", "rsa"};
  const char* const schemes[] = {"ed25519", "ecdsa-sha2-nistp256", "rsassa-pss-sha256"};
  k.object_ = object_node({{"keytype", text_node(types[static_cast<int>(kind)])},
                           {"scheme", text_node(schemes[static_cast<int>(kind)])},
                           {"keyval", object_node({{"public", text_node(shown)}})}});
  k.name();
  return k;
}

void SigningKey::name() { id_ = sha256_hex(object_.canonical()); }

SigningKey SigningKey::renamed(const std::string& mark) const {
  SigningKey k = *this;
  auto members = k.object_.members;
  members.emplace_back(mark, text_node("1"));
  k.object_ = object_node(std::move(members));
  k.name();
  return k;
}

std::string SigningKey::sign(std::string_view bytes) const {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> ctx(EVP_MD_CTX_new(), EVP_MD_CTX_free);
  EVP_PKEY_CTX* how = nullptr;
  EVP_DigestSignInit(ctx.get(), &how, kind_ == Kind::kEd25519 ? nullptr : EVP_sha256(), nullptr, key_.get());
  if (kind_ == Kind::kRsa) {
    EVP_PKEY_CTX_set_rsa_padding(how, RSA_PKCS1_PSS_PADDING);
    EVP_PKEY_CTX_set_rsa_pss_saltlen(how, RSA_PSS_SALTLEN_DIGEST);
  }
  unsigned char out[1024];
  std::size_t size = sizeof out;
  if (EVP_DigestSign(ctx.get(), out, &size, reinterpret_cast<const unsigned char*>(bytes.data()),
                     bytes.size()) != 1)
    throw std::runtime_error("signing failed");
  return hex({reinterpret_cast<char*>(out), size});
}

// ---- Files ----

Publisher::Publisher(Instant expiry) : usual_expiry(expiry) {
  for (const char* const role : {"root", "timestamp", "snapshot", "targets"}) {
    roles[role].keys.push_back(SigningKey::fresh(SigningKey::Kind::kEd25519));
    versions[role] = 1;
  }
}

const Publisher::Signers& Publisher::signers(const std::string& role) const {
  const auto top = roles.find(role);
  if (top != roles.end()) return top->second;
  for (const Part& p : parts) {
    if (p.role == role) return p.signers;
  }
  throw std::runtime_error("no role " + role);
}

Node Publisher::meta(const std::string& role, std::int64_t version) const {
  if (!with_hashes) return object_node({{"version", number_node(version)}});
  const std::string bytes = role == "snapshot" ? snapshot() : targets(role);
  return object_node({{"version", number_node(version)},
                      {"length", number_node(static_cast<std::int64_t>(bytes.size()))},
                      {"hashes", object_node({{"sha256", text_node(sha256_hex(bytes))}})}});
}

Node Publisher::body(const std::string& role) const {
  const bool top = roles.contains(role) && role != "targets";
  const auto version = versions.find(role);
  const auto expiry = expires.find(role);
  std::vector<std::pair<std::string, Node>> members{
      {"_type", text_node(top ? role : "targets")},
      {"spec_version", text_node("1.0.31")},
      {"version", number_node(version == versions.end() ? 1 : version->second)},
      {"expires", text_node(date_text(expiry == expires.end() ? usual_expiry : expiry->second))}};
  if (role == "root") {
    std::vector<std::pair<std::string, Node>> keys, named;
    for (const auto& [name, s] : roles) {
      named.emplace_back(name, role_node(s));
      for (const auto& k : s.keys) {
        const bool known =
            std::any_of(keys.begin(), keys.end(), [&](const auto& o) { return o.first == k.id(); });
        if (!known) keys.emplace_back(k.id(), k.object());
      }
    }
    members.emplace_back("keys", object_node(std::move(keys)));
    members.emplace_back("roles", object_node(std::move(named)));
    members.emplace_back("consistent_snapshot", bool_node(consistent_snapshot));
  } else if (role == "timestamp") {
    members.emplace_back("meta", object_node({{"snapshot.json", meta("snapshot", versions.at("snapshot"))}}));
  } else if (role == "snapshot") {
    std::vector<std::pair<std::string, Node>> all{{"targets.json", meta("targets", versions.at("targets"))}};
    std::set<std::string> done;
    for (const Part& p : parts) {
      if (!done.insert(p.role).second) continue;
      const auto v = versions.find(p.role);
      all.emplace_back(p.role + ".json", meta(p.role, v == versions.end() ? 1 : v->second));
    }
    members.emplace_back("meta", object_node(std::move(all)));
  } else {
    std::vector<std::pair<std::string, Node>> all, keys;
    if (const auto own = contents.find(role); own != contents.end()) {
      for (const auto& [path, content] : own->second) {
        all.emplace_back(
            path, object_node({{"length", number_node(static_cast<std::int64_t>(content.size()))},
                               {"hashes", object_node({{"sha256", text_node(sha256_hex(content))}})}}));
      }
    }
    members.emplace_back("targets", object_node(std::move(all)));
    std::vector<Node> delegated;
    for (const Part& p : parts) {
      if (p.delegator != role) continue;
      std::vector<std::pair<std::string, Node>> one;
      const auto role_of = [&](const std::string& name) {
        Node n = role_node(signers(name));
        n.members.emplace_back("name", text_node(name));
        return object_node(std::move(n.members));
      };
      const auto add_keys = [&](const std::string& name) {
        for (const auto& k : signers(name).keys) {
          const bool known =
              std::any_of(keys.begin(), keys.end(), [&](const auto& o) { return o.first == k.id(); });
          if (!known) keys.emplace_back(k.id(), k.object());
        }
      };
      add_keys(p.role);
      if (p.with.empty()) {
        one = role_of(p.role).members;
      } else {
        std::vector<Node> several{role_of(p.role)};
        for (const auto& w : p.with) several.push_back(role_of(w)), add_keys(w);
        one.emplace_back("roles", list_node(std::move(several)));
        one.emplace_back("min_roles_in_agreement", number_node(p.agreement));
      }
      one.emplace_back("terminating", bool_node(p.terminating));
      if (p.hash_prefixes.empty()) one.emplace_back("paths", names(p.paths));
      else one.emplace_back("path_hash_prefixes", names(p.hash_prefixes));
      delegated.push_back(object_node(std::move(one)));
    }
    if (!delegated.empty())
      members.emplace_back("delegations", object_node({{"keys", object_node(std::move(keys))},
                                                       {"roles", list_node(std::move(delegated))}}));
  }
  return object_node(std::move(members));
}

std::string Publisher::signed_by(const Node& body, const std::vector<SigningKey>& keys) {
  const std::string bytes = body.canonical();
  std::vector<Node> signatures;
  for (const auto& k : keys)
    signatures.push_back(object_node({{"keyid", text_node(k.id())}, {"sig", text_node(k.sign(bytes))}}));
  return object_node({{"signed", body}, {"signatures", list_node(std::move(signatures))}}).json();
}

std::string Publisher::root(const Signers* also) const {
  std::vector<SigningKey> keys = roles.at("root").keys;
  if (also) {
    for (const auto& k : also->keys) {
      if (std::none_of(keys.begin(), keys.end(), [&](const auto& o) { return o.id() == k.id(); }))
        keys.push_back(k);
    }
  }
  return signed_by(body("root"), keys);
}
const std::string& Publisher::made(const std::string& role) const {
  const Node all = body(role);
  std::string key = role + all.canonical();
  for (const auto& k : signers(role).keys) key += k.id();
  std::string& file = made_[sha256_hex(key)];
  if (file.empty()) file = signed_by(all, signers(role).keys);
  return file;
}
std::string Publisher::targets(const std::string& role) const { return made(role); }
std::string Publisher::snapshot() const { return made("snapshot"); }
std::string Publisher::timestamp() const { return made("timestamp"); }

std::map<std::string, std::string> Publisher::files() const {
  std::map<std::string, std::string> all;
  const auto versioned = [&](const std::string& role) {
    const auto v = versions.find(role);
    return (consistent_snapshot ? std::to_string(v == versions.end() ? 1 : v->second) + "." : "") + role +
           ".json";
  };
  all[std::to_string(versions.at("root")) + ".root.json"] = root();
  all["timestamp.json"] = timestamp();
  all[versioned("snapshot")] = snapshot();
  all[versioned("targets")] = targets();
  for (const Part& p : parts) all[versioned(p.role)] = targets(p.role);
  return all;
}

}  // namespace ashbeam::metadata
